package org.sardinelift.ctl.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Usage of one team, summed over the entries that answered, and its configured limits.
 *
 * @param team team name, empty for callers of open services
 * @param admitted requests admitted since the entries started
 * @param refused requests refused since the entries started
 * @param admittedPerSecond requests admitted per second, over the last seconds
 * @param ratePerSecond configured rate, requests per second
 * @param burst configured burst, requests
 * @param onlineWeight configured weight of its online calls
 * @param onlineCalls online calls in progress
 * @param batchItems batch items in progress
 */
record TeamUsage(
        String team,
        long admitted,
        long refused,
        double admittedPerSecond,
        double ratePerSecond,
        double burst,
        double onlineWeight,
        long onlineCalls,
        long batchItems) {

    static TeamUsage of(JsonNode node) {
        return new TeamUsage(
                node.path("team").asText(),
                node.path("admitted").asLong(),
                node.path("refused").asLong(),
                node.path("perSecond").asDouble(),
                node.path("ratePerSecond").asDouble(),
                node.path("burst").asDouble(),
                node.path("onlineWeight").asDouble(),
                node.path("online").asLong(),
                node.path("batch").asLong());
    }

    /** Adds the usage at another entry; the configured limits are the same at all entries. */
    TeamUsage plus(TeamUsage other) {
        return new TeamUsage(
                team,
                admitted + other.admitted,
                refused + other.refused,
                admittedPerSecond + other.admittedPerSecond,
                Math.max(ratePerSecond, other.ratePerSecond),
                Math.max(burst, other.burst),
                Math.max(onlineWeight, other.onlineWeight),
                onlineCalls + other.onlineCalls,
                batchItems + other.batchItems);
    }

    void writeTo(ObjectNode node) {
        node.put("team", team)
                .put("admitted", admitted)
                .put("refused", refused)
                .put("perSecond", admittedPerSecond)
                .put("ratePerSecond", ratePerSecond)
                .put("burst", burst)
                .put("onlineWeight", onlineWeight)
                .put("online", onlineCalls)
                .put("batch", batchItems);
    }
}
