package org.sardinelift.gateway;

import java.util.Set;

/**
 * Names of the headers that callers, instances and targets exchange in addition to those of HTTP.
 *
 * @param callId id of one attempt of a caller, echoed by targets
 * @param deadlineMs time that the caller waits, milliseconds
 * @param team team that a call runs for, sent to targets
 * @param expectedTarget incarnation of the target that a call is meant for
 * @param notRun present in a target's response if the call was not run
 * @param signature a target's signature of its response
 * @param leaving names under which a target's response states that the target is about to stop
 * @param rateLimit names under which a target's response states how many requests per second the
 *     target takes from all instances together
 * @param load running calls, waiting calls and slots of a target, separated by commas
 * @param lastEventId number of the event after which a stream resumes
 * @param resumedCallId id of the caller's attempt that brought the first event of a resumed stream
 * @param promptParts parts of a request's prompt, in the platform's own notation
 * @param tokenCount tokens of a request's prompt and most tokens of its output, in the platform's
 *     own notation
 * @param waitMs time that a read may wait for a result, milliseconds
 * @param targetId id of the target that sent a response
 * @param expectedWeights version of the weights that a request expects
 * @param weights version of the weights of the target that sent a response
 */
public record HeaderNames(
        String callId,
        String deadlineMs,
        String team,
        String expectedTarget,
        String notRun,
        String signature,
        Set<String> leaving,
        Set<String> rateLimit,
        String load,
        String lastEventId,
        String resumedCallId,
        String promptParts,
        String tokenCount,
        String waitMs,
        String targetId,
        String expectedWeights,
        String weights) {}
