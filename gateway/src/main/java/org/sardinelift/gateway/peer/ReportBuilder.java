package org.sardinelift.gateway.peer;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.core.peer.PeerTable;
import org.sardinelift.gateway.NodeSettings;
import org.sardinelift.protocol.generated.PeerAddress;
import org.sardinelift.protocol.generated.PeerReport;

/** Builds the reports of this instance; on the event loop. */
final class ReportBuilder {
    /**
     * Time for which reports repeat a change, for instances that missed one: more than two
     * heartbeat intervals of other zones.
     */
    static final Duration CHANGE_REPEAT_PERIOD = Duration.ofMillis(700);

    /** Reported as the age of what was never read. */
    private static final long NEVER_READ_AGE_MS = -1;

    private final NodeSettings settings;
    private final PeerRole role;
    private final PeerNetwork.StoreReadState storeReadState;
    private final PeerTable peers;
    private final List<ReportSection> sections;
    private final long incarnation = System.currentTimeMillis();
    private final long startedAt = System.nanoTime();
    private Supplier<Collection<Long>> assignedJobsSupplier = List::of;
    private long sequence;
    private boolean isLeaving;

    ReportBuilder(
            NodeSettings settings,
            PeerRole role,
            PeerNetwork.StoreReadState storeReadState,
            PeerTable peers,
            List<ReportSection> sections) {
        this.settings = settings;
        this.role = role;
        this.storeReadState = storeReadState;
        this.peers = peers;
        this.sections = sections;
    }

    /** Sets the supplier of hashes of the jobs that run here. */
    void setAssignedJobsSupplier(Supplier<Collection<Long>> running) {
        assignedJobsSupplier = running;
    }

    /** Sets whether this instance is about to stop. */
    void setLeaving(boolean leaving) {
        isLeaving = leaving;
    }

    /** A report without the members and with only the teams whose counts changed lately. */
    PeerReport buildIncremental() {
        return build(false);
    }

    /** A report with all teams and all members. */
    PeerReport buildFull() {
        PeerReport report = build(true);
        report.setMembers(
                peers.all().stream()
                        .map(peer -> new PeerAddress(peer.name(), peer.host(), peer.port()))
                        .toList());
        return report;
    }

    private PeerReport build(boolean isFull) {
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
        report.setPlanVersion(storeReadState.planVersion());
        report.setPlanAgeMs(ageMs(storeReadState.planReadAt(), now));
        report.setTargetsAgeMs(ageMs(storeReadState.targetsReadAt(), now));
        report.setTargetsChanged(storeReadState.targetsRevision());
        report.setLeaving(isLeaving);
        report.setJobs(List.copyOf(assignedJobsSupplier.get()));
        sections.forEach(section -> section.addTo(report, isFull, now));
        return report;
    }

    private static long ageMs(long readAt, long now) {
        return readAt == 0 ? NEVER_READ_AGE_MS : TimeUnit.NANOSECONDS.toMillis(now - readAt);
    }
}
