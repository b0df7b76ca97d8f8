package org.sardinelift.gateway.job;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.sardinelift.core.joblog.JobProgress;
import org.sardinelift.core.joblog.JobSpec;
import org.sardinelift.core.joblog.WaitingTokenLimit;
import org.sardinelift.core.joblog.WaitingTokenLimit.Decision;
import org.sardinelift.core.joblog.WaitingTokenLimit.Knowledge;
import org.sardinelift.core.peer.Peer;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.gateway.peer.PeerNetwork;
import org.sardinelift.runtime.log.LogEvent;

/**
 * Bounds the tokens of a team that wait in batch jobs on a route, by what this worker knows of the
 * jobs and of the other workers. On the event loop.
 */
final class JobAdmission {
    /** A worker hears of a job that another one has accepted within two watches of the store. */
    private static final Duration JOB_PROPAGATION_TIME = Duration.ofSeconds(1);

    private final JobRegistry jobs;
    private final JobFeed feed;
    private final PeerNetwork network;
    private final WaitingTokenLimit limit;
    private final long startedAt = System.nanoTime();

    JobAdmission(String instance, JobRegistry jobs, JobFeed feed, PeerNetwork network) {
        this.jobs = jobs;
        this.feed = feed;
        this.network = network;
        this.limit = WaitingTokenLimit.create(instance, JOB_PROPAGATION_TIME);
    }

    /** Reserves the tokens of a job that fits; 0 as bound means that there is none. */
    Decision tryReserve(JobSpec job, long maxTokens) {
        if (maxTokens <= 0) {
            return Decision.FITS;
        }
        Knowledge knowledge = new Knowledge(waitingTokens(job), ageNanos(), otherWorkers());
        Decision decision = limit.tryReserve(job, maxTokens, knowledge, System.nanoTime());
        if (decision != Decision.FITS) {
            LogEvent.of("job.over_limit")
                    .with("job", job.id())
                    .with("team", job.team())
                    .with("route", job.route())
                    .with("decision", decision.name())
                    .with("tokens", job.tokens())
                    .with("waiting_tokens", knowledge.waitingTokens())
                    .with("max_tokens", maxTokens)
                    .with("known_ms_ago", TimeUnit.NANOSECONDS.toMillis(knowledge.ageNanos()))
                    .with("other_workers", knowledge.otherWorkers().size())
                    .info();
        }
        return decision;
    }

    private long waitingTokens(JobSpec job) {
        return jobs.all().stream()
                .filter(known -> known.spec().team().equals(job.team()))
                .filter(known -> known.spec().route().equals(job.route()))
                .mapToLong(JobProgress::waitingTokens)
                .sum();
    }

    /** A worker that has just started may not have heard of all jobs and workers. */
    private long ageNanos() {
        long runningNanos = System.nanoTime() - startedAt;
        return runningNanos < JobService.PEER_DISCOVERY_TIME.toNanos()
                ? Long.MAX_VALUE
                : feed.staleNanos();
    }

    private Set<String> otherWorkers() {
        return network.peers().all().stream()
                .filter(peer -> peer.role() == PeerRole.WORKER)
                .map(Peer::name)
                .collect(Collectors.toSet());
    }

    /** A job was accepted and is among those known. */
    void onAccepted(JobSpec job) {
        limit.onAccepted(job);
    }

    /** A job was refused, or nobody knows whether it was stored. */
    void onRefused(JobSpec job, boolean mayBeStored) {
        limit.onRefused(job, mayBeStored);
    }
}
