package org.sardinelift.gateway;

/**
 * Names of the headers that callers, instances and targets exchange beside those of HTTP.
 *
 * @param callId name of one attempt of a caller; targets echo it
 * @param deadlineMs how long the caller waits, milliseconds
 * @param team team that a call runs for, set towards targets
 * @param expectedTarget life of the target that a call is meant for
 * @param notRun present in a target's answer that states that the call was not run
 * @param signature a target's mark on its answer
 * @param load running calls, waiting calls and slots of a target, separated by commas
 * @param lastEventId number of the event after which a stream goes on
 * @param waitMs how long a read may wait for a result, milliseconds
 */
public record HeaderNames(
        String callId,
        String deadlineMs,
        String team,
        String expectedTarget,
        String notRun,
        String signature,
        String load,
        String lastEventId,
        String waitMs) {}
