package org.sardinelift.core.joblog;

/**
 * Result of an item that has ended.
 *
 * @param itemId id of the item
 * @param outcome whether it was completed
 * @param output data of all its events in order, joined by line feeds
 */
public record ItemResult(String itemId, Outcome outcome, String output) {

    /** Way in which an item ended. */
    public enum Outcome {
        /** A target ran the item to its end. */
        COMPLETED,
        /** The item was given up. */
        GIVEN_UP
    }

    /**
     * Creates the result of an item that a target ran to its end.
     *
     * @param itemId id of the item
     * @param output whole output
     * @return the result
     */
    public static ItemResult completed(String itemId, String output) {
        return new ItemResult(itemId, Outcome.COMPLETED, output);
    }

    /**
     * Creates the result of an item that was given up.
     *
     * @param itemId id of the item
     * @return the result
     */
    public static ItemResult givenUp(String itemId) {
        return new ItemResult(itemId, Outcome.GIVEN_UP, "");
    }
}
