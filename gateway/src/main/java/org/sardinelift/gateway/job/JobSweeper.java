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
import org.sardinelift.runtime.log.Event;

/**
 * Removes the objects of closed jobs once their results need be kept no longer. The header goes
 * last, so that a removal that was interrupted is taken up again. On the event loop.
 */
final class JobSweeper {
    private static final Duration INTERVAL = Duration.ofSeconds(5);

    /** Jobs that other workers removed are forgotten here this much later. */
    private static final Duration FORGET_LATER = Duration.ofSeconds(60);

    private final String instance;
    private final JobRegistry book;
    private final JobStorage storage;
    private final PeerNetwork network;
    private final EventLoop loop;
    private final Duration keep;
    private final Deque<JobProgress> removing = new ArrayDeque<>();

    JobSweeper(
            String instance,
            JobRegistry book,
            JobStorage storage,
            PeerNetwork network,
            EventLoop loop,
            Duration keep) {
        this.instance = instance;
        this.book = book;
        this.storage = storage;
        this.network = network;
        this.loop = loop;
        this.keep = keep;
    }

    void start() {
        loop.schedule(this::sweep, INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void sweep() {
        loop.schedule(this::sweep, INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        long now = System.nanoTime();
        long nowMs = System.currentTimeMillis();
        List<JobProgress> old =
                book.all().stream()
                        .filter(job -> job.isClosed() && ageMs(job, nowMs) > keep.toMillis())
                        .toList();
        for (JobProgress job : old) {
            String id = job.spec().id();
            long own = Rendezvous.weight(id, instance);
            boolean first =
                    network.peers()
                            .livePeers(PeerRole.WORKER, now)
                            .allMatch(peer -> Rendezvous.weight(id, peer.name()) < own);
            if (first && !removing.contains(job)) {
                removing.add(job);
            } else if (ageMs(job, nowMs) > keep.plus(FORGET_LATER).toMillis()) {
                book.remove(id);
            }
        }
        removeNext();
    }

    private static long ageMs(JobProgress job, long nowMs) {
        return nowMs - job.spec().submittedMs();
    }

    private void removeNext() {
        JobProgress job = removing.poll();
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
                                int parts = JobCodec.header(found.object().value()).parts();
                                for (int i = 0; i < parts; i++) {
                                    objects.add(new JobObject.Part(id, i));
                                }
                                objects.add(new JobObject.Header(id));
                                remove(id, objects, 0);
                            } else if (result instanceof ReadResult.Absent) {
                                book.remove(id);
                            }
                        });
    }

    private void remove(String id, List<JobObject> objects, int index) {
        if (index == objects.size()) {
            book.remove(id);
            Event.of("job.removed").with("job", id).with("objects", objects.size()).info();
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
                                remove(id, objects, index + 1);
                            }
                        });
    }

    /** What could not be deleted now is deleted by a later sweep. */
    private void onDeleted(String id, List<JobObject> objects, int index, WriteResult deleted) {
        if (deleted instanceof WriteResult.Written) {
            remove(id, objects, index + 1);
        }
    }
}
