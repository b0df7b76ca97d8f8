package org.sardinelift.bench.load;

import java.util.Arrays;
import java.util.List;

/**
 * Limits of one team and the load that it sends.
 *
 * @param name team name
 * @param key caller's key
 * @param ratePerSecond configured rate, requests per second
 * @param burst configured burst, requests
 * @param offeredLoad rate that it sends at, as a multiple of its configured rate
 */
public record TeamLoad(
        String name, String key, double ratePerSecond, double burst, double offeredLoad) {
    private static final int FIELD_COUNT = 5;

    /**
     * Parses teams.
     *
     * @param text {@code NAME=KEY:RATE:BURST:OFFERED}, separated by commas
     * @return the teams
     */
    public static List<TeamLoad> parse(String text) {
        return Arrays.stream(text.split(",")).map(TeamLoad::parseOne).toList();
    }

    private static TeamLoad parseOne(String text) {
        String[] parts = text.strip().split("[=:]");
        if (parts.length != FIELD_COUNT) {
            throw new IllegalArgumentException(
                    "--teams: expected NAME=KEY:RATE:BURST:OFFERED, found " + parts[0]);
        }
        return new TeamLoad(
                parts[0],
                parts[1],
                parseNumber(parts[0], "RATE", parts[2]),
                parseNumber(parts[0], "BURST", parts[3]),
                parseNumber(parts[0], "OFFERED", parts[4]));
    }

    private static double parseNumber(String team, String field, String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(
                    "--teams: " + field + " of " + team + ": expected a number, found " + text, e);
        }
    }
}
