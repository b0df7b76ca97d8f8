package org.sardinelift.entry.batch;

import java.util.function.Consumer;
import org.sardinelift.core.batch.JobPhase;
import org.sardinelift.core.batch.JobState;
import org.sardinelift.core.outcome.Problem;
import org.sardinelift.core.outcome.ProblemKind;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.ReadResult;

/** Cancels jobs, whichever entry runs them, and confirms once the cancel holds. */
final class JobCancel {
    private static final int OK = 200;
    private static final int ACCEPTED = 202;

    private final JobStore store;
    private final BatchSettings settings;
    private final JobReader reader;
    private final OpenJobs jobs;

    JobCancel(JobStore store, BatchSettings settings, JobReader reader, OpenJobs jobs) {
        this.store = store;
        this.settings = settings;
        this.reader = reader;
        this.jobs = jobs;
    }

    void cancel(String team, String id, Consumer<Reply> done) {
        reader.header(team, id, header -> new Cancelling(header, done).start(), done);
    }

    /** One cancel on its way. */
    private final class Cancelling {
        private final JobHeader header;
        private final Consumer<Reply> done;
        private final StateCell cell;
        private final long deadline;
        private boolean answered;

        Cancelling(JobHeader header, Consumer<Reply> done) {
            this.header = header;
            this.done = done;
            this.cell = new StateCell(store, header.id(), () -> JobClaims.accepted(header));
            this.deadline =
                    store.control().nanos() + settings.cancelGrace().multipliedBy(2).toNanos();
        }

        void start() {
            store.control().schedule(settings.cancelGrace().multipliedBy(2), this::giveUp);
            cell.update(JobState::requestCancel, this::onRequested);
        }

        private void onRequested(JobState state) {
            if (state.phase() == JobPhase.CANCELLING) {
                poke();
            }
            look(state);
        }

        private void look(JobState state) {
            if (state.phase().isTerminal()) {
                answer(ended(state));
            } else if (store.control().nanos() < deadline) {
                store.control().schedule(settings.watchPause(), () -> cell.refresh(this::look));
            }
        }

        private Reply ended(JobState state) {
            return state.phase() == JobPhase.CANCELLED
                    ? Reply.of(OK, reader.describe(header, state))
                    : Reply.problem(
                            Problem.notRun(
                                    ProblemKind.CONFLICT,
                                    "the batch was completed before the cancel"));
        }

        private void giveUp() {
            if (answered) {
                return;
            }
            cell.close();
            reader.state(
                    header,
                    state ->
                            answer(
                                    state.phase().isTerminal()
                                            ? ended(state)
                                            : Reply.of(ACCEPTED, reader.describe(header, state))),
                    this::answer);
        }

        private void answer(Reply reply) {
            if (!answered) {
                answered = true;
                cell.close();
                done.accept(reply);
            }
        }

        /** Tells the holder through the marker, which every entry watches. */
        private void poke() {
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
                                marker.json(),
                                result -> jobs.noted(marker));
                    });
        }
    }
}
