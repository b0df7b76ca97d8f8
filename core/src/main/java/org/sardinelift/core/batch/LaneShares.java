package org.sardinelift.core.batch;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToIntFunction;

/**
 * Weighted fair sharing of batch slots over all entries. A lane stands for calls that need the same
 * kind of slot. Each entry publishes with its lease how many calls each team has running and
 * waiting on each lane. A team above its fair share starts no call while, on any entry, a team
 * below its share waits on the same lane.
 */
public final class LaneShares {
    private final Map<String, Map<String, Map<String, Load>>> others = new HashMap<>();

    private LaneShares() {}

    /**
     * Creates an instance that knows no other entry.
     *
     * @return the instance
     */
    public static LaneShares create() {
        return new LaneShares();
    }

    /**
     * Load of one team on one lane of one entry.
     *
     * @param running calls that are running
     * @param waiting items that wait for a slot
     */
    public record Load(int running, int waiting) {
        /** Nothing running or waiting. */
        public static final Load NONE = new Load(0, 0);

        Load plus(Load more) {
            return new Load(running + more.running, waiting + more.waiting);
        }
    }

    /**
     * Replaces the loads of another entry.
     *
     * @param instance name of the entry
     * @param loads loads by lane and team
     */
    public void update(String instance, Map<String, Map<String, Load>> loads) {
        others.put(instance, loads);
    }

    /**
     * Removes the loads of entries that are not live.
     *
     * @param live names of live entries
     */
    public void retainEntries(Collection<String> live) {
        others.keySet().retainAll(live);
    }

    /**
     * Whether a team may start a call.
     *
     * @param team the team
     * @param lane the lane
     * @param own loads of this entry on the lane, by team
     * @param free free slots of the lane
     * @param weight returns the weight of a team
     * @return false if the team is at or above its fair share while another team waits below its
     *     own
     */
    public boolean mayStart(
            String team,
            String lane,
            Map<String, Load> own,
            int free,
            ToIntFunction<String> weight) {
        Map<String, Load> total = new HashMap<>(own);
        others.values()
                .forEach(
                        lanes ->
                                lanes.getOrDefault(lane, Map.of())
                                        .forEach(
                                                (name, load) ->
                                                        total.merge(name, load, Load::plus)));
        total.putIfAbsent(team, Load.NONE);
        int slots = free + total.values().stream().mapToInt(Load::running).sum();
        double weights = total.keySet().stream().mapToInt(weight).sum();
        if (total.get(team).running() < slots * weight.applyAsInt(team) / weights) {
            return true;
        }
        return total.entrySet().stream()
                .filter(other -> !other.getKey().equals(team))
                .filter(other -> other.getValue().waiting() > 0)
                .noneMatch(
                        other ->
                                other.getValue().running()
                                        < Math.floor(
                                                slots
                                                        * weight.applyAsInt(other.getKey())
                                                        / weights));
    }
}
