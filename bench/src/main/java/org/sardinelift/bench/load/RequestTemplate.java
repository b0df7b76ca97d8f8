package org.sardinelift.bench.load;

/**
 * Template of the requests of a run.
 *
 * @param runName name of the run, part of each request's id
 * @param model model requested
 * @param maxTokens tokens of each answer
 * @param promptChars characters of each prompt
 */
public record RequestTemplate(String runName, String model, int maxTokens, int promptChars) {

    String body(int number) {
        return "{\"model\":\"%s\",\"stream\":true,\"max_tokens\":%d,\"messages\":[%s]}"
                .formatted(model, maxTokens, message(number));
    }

    /**
     * Returns one line of a batch job.
     *
     * @param number number of the item
     * @return JSON without a line break
     */
    public String batchLine(int number) {
        return ("{\"custom_id\":\"%s-%d\",\"method\":\"POST\",\"url\":\"/v1/chat/completions\","
                        + "\"body\":{\"model\":\"%s\",\"max_tokens\":%d,\"messages\":[%s]}}")
                .formatted(runName, number, model, maxTokens, message(number));
    }

    private String message(int number) {
        String text = "lookup " + runName + " " + number + " ";
        String padding = "x".repeat(Math.max(0, promptChars - text.length()));
        return "{\"role\":\"user\",\"content\":\"" + text + padding + "\"}";
    }
}
