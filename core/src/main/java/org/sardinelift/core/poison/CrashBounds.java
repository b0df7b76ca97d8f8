package org.sardinelift.core.poison;

/**
 * Time and size limits of a {@link CrashLedger}.
 *
 * @param suspectForMs time after which a suspect is clear again, milliseconds; also the time for
 *     which a request is refused that was the only one in flight on both of two targets that died
 * @param refuseForMs time for which a request is refused that killed a target as the only suspect,
 *     milliseconds
 * @param settleMs time for evidence of a death to arrive from every entry, milliseconds
 * @param maxEntries maximum number of requests, and of deaths, that are kept; beyond it the oldest
 *     are dropped
 */
public record CrashBounds(long suspectForMs, long refuseForMs, long settleMs, int maxEntries) {}
