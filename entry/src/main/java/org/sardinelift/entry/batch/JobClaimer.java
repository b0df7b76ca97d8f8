package org.sardinelift.entry.batch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.sardinelift.core.batch.EntryRendezvous;
import org.sardinelift.core.batch.Holder;
import org.sardinelift.core.batch.JobState;
import org.sardinelift.core.batch.LaneShares;
import org.sardinelift.core.batch.LeaseMonitor;
import org.sardinelift.core.batch.RemovalStage;
import org.sardinelift.core.fleet.FleetView;
import org.sardinelift.core.fleet.InstanceInfo;
import org.sardinelift.objects.ReadResult;
import org.tinylog.Logger;

/** Claims open jobs that no live entry holds and that are assigned to this entry. */
final class JobClaimer {
    private final JobStore store;
    private final Holder self;
    private final LeaseMonitor leases;
    private final LaneShares shares;
    private final OpenJobs jobs;
    private final BatchWorker worker;
    private final LeaseRenewer lease;
    private final Supplier<FleetView> fleet;
    private final Map<String, Holder> holderByJob = new HashMap<>();
    private final Set<String> claimsInProgress = new HashSet<>();
    private final JobDecisions decisions;
    private boolean isDraining;

    JobClaimer(
            JobStore store,
            Holder self,
            LeaseMonitor leases,
            LaneShares shares,
            OpenJobs jobs,
            BatchWorker worker,
            LeaseRenewer lease,
            Supplier<FleetView> fleet,
            JobDecisions decisions) {
        this.store = store;
        this.self = self;
        this.leases = leases;
        this.shares = shares;
        this.jobs = jobs;
        this.worker = worker;
        this.lease = lease;
        this.fleet = fleet;
        this.decisions = decisions;
    }

    void drain() {
        isDraining = true;
    }

    /** Claims available jobs; reads nothing of jobs that are assigned to other entries. */
    void claimJobs() {
        shares.retainEntries(leases.liveInstances(store.control().nanos()));
        holderByJob.keySet().retainAll(jobs.markers().keySet());
        if (isDraining || !lease.ownLease().isValid(store.control().nanos())) {
            return;
        }
        List<String> eligible = eligibleEntries();
        List.copyOf(jobs.markers().values()).stream()
                .filter(marker -> !worker.runs().containsKey(marker.id()))
                .filter(marker -> !claimsInProgress.contains(marker.id()))
                .filter(marker -> isClaimable(holderByJob.getOrDefault(marker.id(), Holder.NONE)))
                .filter(marker -> isAssignedHere(marker.id(), eligible))
                .forEach(this::claim);
    }

    private boolean isAssignedHere(String job, List<String> eligible) {
        return EntryRendezvous.choose(job, eligible).filter(self.instance()::equals).isPresent();
    }

    /** Entries to which work may be assigned. */
    List<String> eligibleEntries() {
        Set<String> leaving =
                fleet.get().entries().stream()
                        .filter(InstanceInfo::isLeaving)
                        .map(InstanceInfo::name)
                        .collect(Collectors.toSet());
        return leases.liveInstances(store.control().nanos()).stream()
                .filter(instance -> !leaving.contains(instance))
                .toList();
    }

    private boolean isClaimable(Holder holder) {
        return !holder.isPresent()
                || holder.equals(self)
                || leases.hasLapsed(holder, store.control().nanos());
    }

    private void claim(OpenJobs.Marker marker) {
        claimsInProgress.add(marker.id());
        store.read(
                JobHeader.key(marker.team(), marker.id()),
                read -> {
                    Optional<JobHeader> header =
                            read instanceof ReadResult.Found found
                                    ? Optional.of(BatchJson.header(found.object().value()))
                                    : Optional.empty();
                    header.filter(found -> found.stage() == RemovalStage.LIVE)
                            .ifPresentOrElse(
                                    this::claim, () -> claimsInProgress.remove(marker.id()));
                });
    }

    private void claim(JobHeader header) {
        JobStateUpdater stateUpdater =
                new JobStateUpdater(store, header.id(), () -> initialState(header));
        boolean[] claimed = {false};
        Holder[] before = {Holder.NONE};
        stateUpdater.update(
                current -> {
                    before[0] = current.holder().equals(self) ? before[0] : current.holder();
                    claimed[0] =
                            !isDraining
                                    && !current.phase().isTerminal()
                                    && isClaimable(current.holder());
                    return claimed[0] ? current.claim(self) : current;
                },
                state -> {
                    if (claimed[0] && !state.phase().isTerminal()) {
                        decisions.onClaimed(header, state, before[0]);
                    }
                    onClaimAnswered(header, stateUpdater, state, claimed[0]);
                });
    }

    static JobState initialState(JobHeader header) {
        return JobState.initial(header.team(), header.itemCount(), header.chunkItems().size());
    }

    private void onClaimAnswered(
            JobHeader header, JobStateUpdater stateUpdater, JobState state, boolean claimed) {
        claimsInProgress.remove(header.id());
        if (state.phase().isTerminal()) {
            stateUpdater.close();
            removeMarker(header.id());
        } else if (claimed) {
            holderByJob.remove(header.id());
            Logger.info("Claimed {} under fence {}", header.id(), state.fence());
            worker.startJob(header, stateUpdater, state);
        } else {
            stateUpdater.close();
            holderByJob.put(header.id(), state.holder());
        }
    }

    /** Handles the end of a run: the job ended, or another entry holds it. */
    void onRunEnded(JobRun run, JobState state) {
        String id = run.header().id();
        if (state.phase().isTerminal()) {
            Logger.info("Job {} is {}", id, state.phase().label());
            removeMarker(id);
        } else {
            Optional.of(state.holder())
                    .filter(holder -> !holder.equals(self))
                    .ifPresent(holder -> holderByJob.put(id, holder));
        }
    }

    private void removeMarker(String id) {
        jobs.markers().remove(id);
        store.deleteAnyVersion(OpenJobs.Marker.key(id));
    }
}
