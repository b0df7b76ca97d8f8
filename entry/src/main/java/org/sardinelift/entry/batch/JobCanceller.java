package org.sardinelift.entry.batch;

import java.util.function.Consumer;
import org.sardinelift.core.batch.JobPhase;
import org.sardinelift.core.batch.JobState;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.ProblemKind;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.ReadResult;

/** Cancels jobs, whichever entry runs them, and confirms once the cancel is in effect. */
final class JobCanceller {
    private static final int OK = 200;
    private static final int ACCEPTED = 202;

    private final JobStore store;
    private final BatchSettings settings;
    private final JobReader reader;
    private final OpenJobs jobs;

    JobCanceller(JobStore store, BatchSettings settings, JobReader reader, OpenJobs jobs) {
        this.store = store;
        this.settings = settings;
        this.reader = reader;
        this.jobs = jobs;
    }

    void cancel(String team, String id, Consumer<Reply> done) {
        reader.findHeader(team, id, header -> new CancelRequest(header, done).start(), done);
    }

    /** One cancel request in progress. */
    private final class CancelRequest {
        private final JobHeader header;
        private final Consumer<Reply> done;
        private final JobStateUpdater stateUpdater;
        private final long deadline;
        private boolean isAnswered;

        CancelRequest(JobHeader header, Consumer<Reply> done) {
            this.header = header;
            this.done = done;
            this.stateUpdater =
                    new JobStateUpdater(store, header.id(), () -> JobClaimer.initialState(header));
            this.deadline =
                    store.control().nanos() + settings.cancelGrace().multipliedBy(2).toNanos();
        }

        void start() {
            store.control().schedule(settings.cancelGrace().multipliedBy(2), this::onDeadline);
            stateUpdater.update(JobState::requestCancel, this::onRequested);
        }

        private void onRequested(JobState state) {
            if (state.phase() == JobPhase.CANCELLING) {
                notifyHolder();
            }
            poll(state);
        }

        private void poll(JobState state) {
            if (state.phase().isTerminal()) {
                answer(replyFor(state));
            } else if (store.control().nanos() < deadline) {
                store.control()
                        .schedule(settings.watchPause(), () -> stateUpdater.refresh(this::poll));
            }
        }

        private Reply replyFor(JobState state) {
            return state.phase() == JobPhase.CANCELLED
                    ? Reply.of(OK, reader.statusJson(header, state))
                    : Reply.problem(
                            Problem.notRun(
                                    ProblemKind.CONFLICT,
                                    "the batch was completed before the cancel"));
        }

        private void onDeadline() {
            if (isAnswered) {
                return;
            }
            stateUpdater.close();
            reader.readState(
                    header,
                    state ->
                            answer(
                                    state.phase().isTerminal()
                                            ? replyFor(state)
                                            : Reply.of(ACCEPTED, reader.statusJson(header, state))),
                    this::answer);
        }

        private void answer(Reply reply) {
            if (!isAnswered) {
                isAnswered = true;
                stateUpdater.close();
                done.accept(reply);
            }
        }

        /** Notifies the holder through the marker, which every entry watches. */
        private void notifyHolder() {
            OpenJobs.Marker marker = new OpenJobs.Marker(header.id(), header.team(), true);
            store.read(
                    OpenJobs.Marker.key(header.id()),
                    settings.acceptAttempts(),
                    read -> {
                        long version =
                                read instanceof ReadResult.Found found
                                        ? found.object().version()
                                        : ObjectStore.ABSENT_VERSION;
                        store.write(
                                OpenJobs.Marker.key(header.id()),
                                version,
                                marker.toJson(),
                                result -> jobs.onMarkerWritten(marker));
                    });
        }
    }
}
