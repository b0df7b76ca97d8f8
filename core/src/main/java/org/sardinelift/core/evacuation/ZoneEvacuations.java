package org.sardinelift.core.evacuation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.sardinelift.core.peer.PeerTable;

/**
 * The evacuated zones as one instance knows them, and when it lists them itself. The list with the
 * newest revision of the store applies, whether the store or a peer answered with it; without any
 * list no zone is evacuated. Times are nanoseconds of a monotonic clock. Not thread-safe.
 *
 * <p>One instance of each zone lists: the first by name of those that are live and hold a young
 * list. A list that is known already is not made younger by a peer that repeats it: ages taken from
 * reports lack the time that the reports took, so instances that repeat a list to each other would
 * keep it young for ever and none would read again.
 */
public final class ZoneEvacuations {
    /** Source of the lists that this instance has read itself. */
    public static final String STORE = "store";

    private final String zone;
    private final EvacuationBounds bounds;
    private final Map<String, Long> listedAtByPeer = new HashMap<>();
    private final Map<String, Evacuation> evacuated = new TreeMap<>();
    private Optional<EvacuationList> current = Optional.empty();
    private String source = "";
    private OptionalLong changedAt = OptionalLong.empty();
    private OptionalLong nextListAt = OptionalLong.empty();
    private boolean isListing;

    /**
     * An evacuation under way.
     *
     * @param zone name of the zone
     * @param startedAt when this instance learned of it
     * @param revision revision of the list that showed it
     * @param source where that list came from
     */
    public record Evacuation(String zone, long startedAt, long revision, String source) {}

    private ZoneEvacuations(String zone, EvacuationBounds bounds) {
        this.zone = zone;
        this.bounds = bounds;
    }

    /**
     * Creates the state of an instance that knows no list.
     *
     * @param zone zone of this instance
     * @param bounds times of the lists
     * @return the state
     */
    public static ZoneEvacuations create(String zone, EvacuationBounds bounds) {
        return new ZoneEvacuations(zone, bounds);
    }

    /**
     * Whether nothing may be sent to the targets of a zone.
     *
     * @param name name of the zone
     * @return false also while no list is known
     */
    public boolean isEvacuated(String name) {
        return evacuated.containsKey(name);
    }

    /**
     * The evacuations under way.
     *
     * @return the evacuations, ordered by zone
     */
    public Collection<Evacuation> evacuations() {
        return evacuated.values();
    }

    /**
     * The list that applies.
     *
     * @return the list, empty before the first
     */
    public Optional<EvacuationList> current() {
        return current;
    }

    /**
     * Where the list that applies comes from.
     *
     * @return {@link #STORE} or the peer, empty before the first list
     */
    public String source() {
        return source;
    }

    /**
     * Whether this instance has to list now.
     *
     * @param peers the other instances
     * @param now the time
     * @return true at the start, and when a list is due that no other instance of the zone reads
     */
    public boolean isListDue(PeerTable peers, long now) {
        if (isListing) {
            return false;
        }
        return nextListAt.isEmpty() || now - nextListAt.getAsLong() >= 0 && isReader(peers, now);
    }

    /**
     * Whether this instance lists the evacuations of its zone.
     *
     * @param peers the other instances
     * @param now the time
     * @return false while another instance of the zone does
     */
    public boolean isReader(PeerTable peers, long now) {
        return !peers.isReadByOther(
                zone, peer -> listedAt(peer.name()), bounds.maxReaderAge(), now);
    }

    private OptionalLong listedAt(String peer) {
        Long at = listedAtByPeer.get(peer);
        return at == null ? OptionalLong.empty() : OptionalLong.of(at);
    }

    /** A list was requested from the store. */
    public void onListStarted() {
        isListing = true;
    }

    /**
     * The store did not answer a list; what is known stays.
     *
     * @param now the time
     */
    public void onListFailed(long now) {
        isListing = false;
        nextListAt = OptionalLong.of(now + bounds.retryInterval().toNanos());
    }

    /**
     * The store answered a list.
     *
     * @param list the list
     * @param now the time
     * @return what has started and ended
     */
    public List<EvacuationChange> onStoreList(EvacuationList list, long now) {
        isListing = false;
        nextListAt = OptionalLong.of(list.listedAt() + bounds.listInterval().toNanos());
        boolean isCurrent =
                current.isEmpty()
                        || list.revision() > current.get().revision()
                        || list.revision() == current.get().revision()
                                && list.listedAt() - current.get().listedAt() >= 0;
        return isCurrent ? apply(list, STORE, now) : List.of();
    }

    /**
     * Another instance reported the list that it knows.
     *
     * @param peer name of the instance
     * @param list the list
     * @param now the time
     * @return what has started and ended
     */
    public List<EvacuationChange> onPeerList(String peer, EvacuationList list, long now) {
        listedAtByPeer.put(peer, list.listedAt());
        boolean isNewer = current.isEmpty() || list.revision() > current.get().revision();
        return isNewer ? apply(list, "peer " + peer, now) : List.of();
    }

    /**
     * Another instance has stopped for good.
     *
     * @param peer its name
     */
    public void onPeerRemoved(String peer) {
        listedAtByPeer.remove(peer);
    }

    private List<EvacuationChange> apply(EvacuationList list, String newSource, long now) {
        long age = now - list.listedAt();
        List<EvacuationChange> changes = new ArrayList<>();
        list.zones().stream()
                .filter(name -> !evacuated.containsKey(name))
                .sorted()
                .forEach(
                        name -> {
                            evacuated.put(
                                    name, new Evacuation(name, now, list.revision(), newSource));
                            changes.add(
                                    new EvacuationChange(
                                            name, true, list.revision(), newSource, age));
                        });
        List<String> ended =
                evacuated.keySet().stream().filter(name -> !list.zones().contains(name)).toList();
        ended.forEach(
                name -> {
                    evacuated.remove(name);
                    changes.add(new EvacuationChange(name, false, list.revision(), newSource, age));
                });
        current = Optional.of(list);
        source = newSource;
        if (!changes.isEmpty()) {
            changedAt = OptionalLong.of(now);
        }
        return changes;
    }

    /**
     * The list to include in a report. The reader of the zone includes one that is new, as the
     * others go by its age; each instance while a zone is evacuated, since an instance that has
     * just started without the store would else send to that zone until it hears a reader or a full
     * report, for a while after a change, and in full reports.
     *
     * @param isFull whether the report names everything
     * @param peers the other instances
     * @param now the time
     * @return the list, empty if the others need not be told
     */
    public Optional<EvacuationList> listToReport(boolean isFull, PeerTable peers, long now) {
        boolean isChanged =
                changedAt.isPresent()
                        && now - changedAt.getAsLong() < bounds.changeRepeatPeriod().toNanos();
        return current.filter(
                list ->
                        isFull
                                || isChanged
                                || !list.zones().isEmpty()
                                || isNew(list, now) && isReader(peers, now));
    }

    private boolean isNew(EvacuationList list, long now) {
        return now - list.listedAt() < bounds.listRepeatPeriod().toNanos();
    }
}
