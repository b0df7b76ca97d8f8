package org.sardinelift.core.poison;

/**
 * Times and sizes of a {@link CrashLedger}.
 *
 * @param suspectMs time after which a suspect is clear again, milliseconds; also the time for which
 *     a request is refused that was the only one on two targets that died
 * @param refuseForMs time for which a request is refused that killed a target as the only suspect,
 *     milliseconds
 * @param settleMs time for evidence of a death to come from every entry, milliseconds
 * @param maxEntries requests, and deaths, that are remembered; past that the oldest are forgotten
 */
public record CrashBounds(long suspectForMs, long refuseForMs, long settleMs, int maxEntries) {}
