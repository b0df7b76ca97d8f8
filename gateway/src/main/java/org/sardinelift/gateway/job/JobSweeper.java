package org.sardinelift.gateway.job;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.sardinelift.core.joblog.JobProgress;
import org.sardinelift.core.peer.PeerRole;
import org.sardinelift.core.route.Rendezvous;
import org.sardinelift.gateway.peer.PeerNetwork;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.WriteResult;
import org.sardinelift.runtime.log.LogEvent;

/**
 * Removes the objects of closed jobs after the retention time of their results. The header is
 * deleted last, so that an interrupted removal is continued. On the event loop.
 */
final class JobSweeper {
    private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(5);

    /** Further time until jobs that another worker removes from the store are dropped here. */
    private static final Duration OTHER_WORKER_REMOVAL_TIME = Duration.ofSeconds(60);

    private final String instance;
    private final JobRegistry jobs;
    private final JobStorage storage;
    private final PeerNetwork network;
    private final EventLoop loop;
    private final Duration retention;
    private final Deque<JobProgress> removalQueue = new ArrayDeque<>();

    JobSweeper(
            String instance,
            JobRegistry jobs,
            JobStorage storage,
            PeerNetwork network,
            EventLoop loop,
            Duration retention) {
        this.instance = instance;
        this.jobs = jobs;
        this.storage = storage;
        this.network = network;
        this.loop = loop;
        this.retention = retention;
    }

    void start() {
        loop.schedule(this::sweep, SWEEP_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void sweep() {
        loop.schedule(this::sweep, SWEEP_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        long now = System.nanoTime();
        long nowMs = System.currentTimeMillis();
        List<JobProgress> expired =
                jobs.all().stream()
                        .filter(job -> job.isClosed() && ageMs(job, nowMs) > retention.toMillis())
                        .toList();
        for (JobProgress job : expired) {
            String id = job.spec().id();
            long own = Rendezvous.weight(id, instance);
            boolean isRemovedHere =
                    network.peers()
                            .livePeers(PeerRole.WORKER, now)
                            .allMatch(peer -> Rendezvous.weight(id, peer.name()) < own);
            if (isRemovedHere && !removalQueue.contains(job)) {
                removalQueue.add(job);
            } else if (ageMs(job, nowMs) > retention.plus(OTHER_WORKER_REMOVAL_TIME).toMillis()) {
                jobs.remove(id);
            }
        }
        removeNext();
    }

    private static long ageMs(JobProgress job, long nowMs) {
        return nowMs - job.spec().submittedMs();
    }

    private void removeNext() {
        JobProgress job = removalQueue.poll();
        if (job == null) {
            return;
        }
        String id = job.spec().id();
        List<JobObject> objects = new ArrayList<>();
        for (int i = 0; i < job.nextRecord(); i++) {
            objects.add(new JobObject.Record(id, i));
        }
        objects.add(new JobObject.End(id));
        storage.read(new JobObject.Header(id))
                .thenAccept(
                        result -> {
                            if (result instanceof ReadResult.Found found) {
                                int parts = JobCodec.decodeHeader(found.object().value()).parts();
                                for (int i = 0; i < parts; i++) {
                                    objects.add(new JobObject.Part(id, i));
                                }
                                objects.add(new JobObject.Header(id));
                                removeObjects(id, objects, 0);
                            } else if (result instanceof ReadResult.Absent) {
                                jobs.remove(id);
                            }
                        });
    }

    private void removeObjects(String id, List<JobObject> objects, int index) {
        if (index == objects.size()) {
            jobs.remove(id);
            LogEvent.of("job.removed").with("job", id).with("objects", objects.size()).info();
            removeNext();
            return;
        }
        JobObject object = objects.get(index);
        storage.read(object)
                .thenAccept(
                        result -> {
                            if (result instanceof ReadResult.Found found) {
                                storage.delete(object.key(), found.object().version())
                                        .thenAcceptAsync(
                                                deleted -> onDeleted(id, objects, index, deleted),
                                                loop);
                            } else if (result instanceof ReadResult.Absent) {
                                removeObjects(id, objects, index + 1);
                            }
                        });
    }

    /** After a failure a later sweep continues the removal. */
    private void onDeleted(String id, List<JobObject> objects, int index, WriteResult deleted) {
        if (deleted instanceof WriteResult.Written) {
            removeObjects(id, objects, index + 1);
        }
    }
}
