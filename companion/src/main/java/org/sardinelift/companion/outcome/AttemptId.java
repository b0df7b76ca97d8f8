package org.sardinelift.companion.outcome;

/**
 * Identifies one attempt at a request.
 *
 * @param requestId id that is unique in the fleet
 * @param attempt number of the attempt
 */
public record AttemptId(String requestId, int attempt) {}
