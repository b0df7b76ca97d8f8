package org.sardinelift.core.batch;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToIntFunction;

/**
 * Shares of batch slots over the whole fleet. Each entry tells the others with its lease how many
 * calls each team has running and waiting on each lane; a team above its due starts nothing while a
 * team below its due waits on the same lane, on whichever entry.
 */
public final class LaneShares {
    private final Map<String, Map<String, Map<String, Load>>> others = new HashMap<>();

    private LaneShares() {}

    /**
     * Makes shares of a fleet of which nothing is known.
     *
     * @return the shares
     */
    public static LaneShares create() {
        return new LaneShares();
    }

    /**
     * What one team has on one lane of one entry.
     *
     * @param running calls under way
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
     * Notes what another entry has.
     *
     * @param instance the entry
     * @param loads loads by lane and team
     */
    public void update(String instance, Map<String, Map<String, Load>> loads) {
        others.put(instance, loads);
    }

    /**
     * Forgets entries that are not live.
     *
     * @param live names of live entries
     */
    public void retain(Collection<String> live) {
        others.keySet().retainAll(live);
    }

    /**
     * Whether a team may start a call.
     *
     * @param team the team
     * @param lane the lane
     * @param own loads of this entry on the lane, by team
     * @param free free slots of the lane
     * @param weight weight of a team
     * @return false while the team is above its due and another waits below its own
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
