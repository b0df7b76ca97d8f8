package org.sardinelift.gateway.peer;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.sardinelift.core.load.LoadTracker;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.core.peer.PeerTable;
import org.sardinelift.core.quota.FleetQuota;
import org.sardinelift.gateway.NodeSettings;
import org.sardinelift.protocol.generated.PeerAddress;
import org.sardinelift.protocol.generated.PeerReport;
import org.sardinelift.protocol.generated.TargetDeath;
import org.sardinelift.protocol.generated.TargetUse;
import org.sardinelift.protocol.generated.TeamCount;

/** Writes the reports of this instance; on the event loop. */
final class ReportBuilder {
    /**
     * Time for which a change is named again, for those that missed a report: more than two
     * heartbeats to the instances of other zones.
     */
    private static final Duration REPEAT = Duration.ofMillis(700);

    /** Age of what was never read. */
    private static final long NEVER = -1;

    private final NodeSettings settings;
    private final PeerRole role;
    private final PeerNetwork.StoreReadState knowledge;
    private final PeerTable book;
    private final LoadTracker board;
    private final FleetQuota quota;
    private final long incarnation = System.currentTimeMillis();
    private final long startedAt = System.nanoTime();
    private final Map<String, Long> reportedCounts = new HashMap<>();
    private final Map<String, Long> countChangedAt = new HashMap<>();
    private final Map<TargetDeath, Long> deaths = new LinkedHashMap<>();
    private Supplier<Collection<Long>> jobs = List::of;
    private long sequence;
    private boolean setLeaving;

    ReportBuilder(
            NodeSettings settings,
            PeerRole role,
            PeerNetwork.StoreReadState knowledge,
            PeerTable book,
            LoadTracker board,
            FleetQuota quota) {
        this.settings = settings;
        this.role = role;
        this.knowledge = knowledge;
        this.book = book;
        this.board = board;
        this.quota = quota;
    }

    /** Sets who tells which jobs run here. */
    void setAssignedJobsSupplier(Supplier<Collection<Long>> running) {
        jobs = running;
    }

    /** Sets whether this instance is about to stop. */
    void setLeaving(boolean isLeaving) {
        setLeaving = isLeaving;
    }

    /** A target died, of which the next reports tell. */
    void onTargetDeath(long request, String target) {
        deaths.put(new TargetDeath(request, target), System.nanoTime());
    }

    /** What changes often. */
    PeerReport buildIncremental() {
        return report(false);
    }

    /** The same with all teams and all members. */
    PeerReport buildFull() {
        PeerReport report = report(true);
        report.setMembers(
                book.all().stream()
                        .map(peer -> new PeerAddress(peer.name(), peer.host(), peer.port()))
                        .toList());
        return report;
    }

    private PeerReport report(boolean allTeams) {
        long now = System.nanoTime();
        sequence++;
        PeerReport report = new PeerReport();
        report.setInstance(settings.instance());
        report.setIncarnation(incarnation);
        report.setSequence(sequence);
        report.setAgeMs(TimeUnit.NANOSECONDS.toMillis(now - startedAt));
        report.setZone(settings.zone());
        report.setRole(role.label());
        report.setHost(settings.internalAddress().host());
        report.setPort(settings.internalAddress().port());
        report.setPlanVersion(knowledge.planVersion());
        report.setPlanAgeMs(ageMs(knowledge.planReadAt(), now));
        report.setTargetsAgeMs(ageMs(knowledge.targetsReadAt(), now));
        report.setTargetsChanged(knowledge.targetsRevision());
        report.setLeaving(setLeaving);
        report.setUses(
                board.ownCallsByTarget().entrySet().stream()
                        .map(
                                use ->
                                        new TargetUse(
                                                use.getKey(),
                                                use.getValue().online(),
                                                use.getValue().batch()))
                        .toList());
        report.setTeams(counts(allTeams, now));
        report.setJobs(List.copyOf(jobs.get()));
        deaths.values().removeIf(at -> now - at >= REPEAT.toNanos());
        report.setDeaths(List.copyOf(deaths.keySet()));
        return report;
    }

    private static long ageMs(long at, long now) {
        return at == 0 ? NEVER : TimeUnit.NANOSECONDS.toMillis(now - at);
    }

    private List<TeamCount> counts(boolean all, long now) {
        quota.admittedCounts()
                .forEach(
                        (team, count) -> {
                            if (!count.equals(reportedCounts.put(team, count))) {
                                countChangedAt.put(team, now);
                            }
                        });
        return reportedCounts.entrySet().stream()
                .filter(entry -> all || now - countChangedAt.get(entry.getKey()) < REPEAT.toNanos())
                .map(entry -> new TeamCount(entry.getKey(), entry.getValue()))
                .toList();
    }
}
