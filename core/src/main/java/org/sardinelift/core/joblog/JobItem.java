package org.sardinelift.core.joblog;

import java.util.Map;

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
        String id, String path, Map<String, String> headers, byte[] body, long tokens) {}
