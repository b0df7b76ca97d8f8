package org.sardinelift.standins.engine;

import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Generates answers that depend on the prompt alone, so that tests can predict them. */
public final class EngineText {
    private static final int WORD_BITS = 24;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;

    private EngineText() {}

    /**
     * Generates a whole answer.
     *
     * @param prompt the prompt as returned by {@link Prompt#text()}
     * @param tokens number of tokens
     * @return the text of that many tokens
     */
    public static String generate(String prompt, int tokens) {
        long seed = seed(prompt);
        return IntStream.range(0, tokens)
                .mapToObj(index -> token(seed, index))
                .collect(Collectors.joining());
    }

    static long seed(String prompt) {
        return prompt.chars()
                .asLongStream()
                .reduce(FNV_OFFSET, (hash, next) -> (hash ^ next) * FNV_PRIME);
    }

    static String token(long seed, int index) {
        long mixedSeed = (seed ^ (index * GOLDEN_GAMMA)) * GOLDEN_GAMMA;
        return (index == 0 ? "" : " ")
                + "w"
                + Long.toHexString(mixedSeed >>> (Long.SIZE - WORD_BITS));
    }
}
