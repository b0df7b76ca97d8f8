package org.sardinelift.gateway.peer;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.sardinelift.core.load.LoadBoard;
import org.sardinelift.core.peer.PeerBook;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.core.quota.FleetQuota;
import org.sardinelift.gateway.NodeSettings;
import org.sardinelift.protocol.generated.PeerAddress;
import org.sardinelift.protocol.generated.PeerReport;
import org.sardinelift.protocol.generated.TargetDeath;
import org.sardinelift.protocol.generated.TargetUse;
import org.sardinelift.protocol.generated.TeamCount;

/** Writes the reports of this instance; on the event loop. */
final class ReportWriter {
    /**
     * Time for which a change is named again, for those that missed a report: more than two
     * heartbeats to the instances of other zones.
     */
    private static final Duration REPEAT = Duration.ofMillis(700);

    /** Age of what was never read. */
    private static final long NEVER = -1;

    private final NodeSettings settings;
    private final PeerRole role;
    private final PeerNetwork.Knowledge knowledge;
    private final PeerBook book;
    private final LoadBoard board;
    private final FleetQuota quota;
    private final long incarnation = System.currentTimeMillis();
    private final long startedAt = System.nanoTime();
    private final Map<String, Long> reportedCounts = new HashMap<>();
    private final Map<String, Long> countChangedAt = new HashMap<>();
    private final Map<TargetDeath, Long> deaths = new LinkedHashMap<>();
    private Supplier<Collection<Long>> jobs = List::of;
    private long sequence;
    private boolean leaving;

    ReportWriter(
            NodeSettings settings,
            PeerRole role,
            PeerNetwork.Knowledge knowledge,
            PeerBook book,
            LoadBoard board,
            FleetQuota quota) {
        this.settings = settings;
        this.role = role;
        this.knowledge = knowledge;
        this.book = book;
        this.board = board;
        this.quota = quota;
    }

    /** Sets who tells which jobs run here. */
    void reportJobs(Supplier<Collection<Long>> running) {
        jobs = running;
    }

    /** Sets whether this instance is about to stop. */
    void leaving(boolean isLeaving) {
        leaving = isLeaving;
    }

    /** A target died, of which the next reports tell. */
    void onDeath(long request, String target) {
        deaths.put(new TargetDeath(request, target), System.nanoTime());
    }

    /** What changes often. */
    PeerReport changes() {
        return report(false);
    }

    /** The same with all teams and all members. */
    PeerReport full() {
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
        report.setHost(settings.internal().host());
        report.setPort(settings.internal().port());
        report.setPlanVersion(knowledge.planVersion());
        report.setPlanAgeMs(ageMs(knowledge.planReadAt(), now));
        report.setTargetsAgeMs(ageMs(knowledge.targetsReadAt(), now));
        report.setTargetsChanged(knowledge.targetsChanged());
        report.setLeaving(leaving);
        report.setUses(
                board.ownUses().entrySet().stream()
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
        quota.admitted()
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
