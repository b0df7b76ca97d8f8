package org.sardinelift.core.joblog;

import java.util.Map;
import java.util.OptionalLong;

/**
 * One call of a batch job.
 *
 * @param id id of the item, unique in its job
 * @param path request path at the target
 * @param headers request headers
 * @param body request body
 * @param tokens tokens of the prompt and most tokens of the output, summed
 */
public record JobItem(
        String id, String path, Map<String, String> headers, byte[] body, long tokens) {
    /**
     * Returns the tokens that the item may hold in the memory of a target.
     *
     * @return tokens, or empty if the job states none
     */
    public OptionalLong countedTokens() {
        return tokens > 0 ? OptionalLong.of(tokens) : OptionalLong.empty();
    }
}
