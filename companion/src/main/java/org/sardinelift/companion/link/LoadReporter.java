package org.sardinelift.companion.link;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.gate.ReportPacer;
import org.sardinelift.protocol.generated.LoadReport;
import org.sardinelift.runtime.ControlThread;
import org.sardinelift.runtime.OneShotTimer;

/** Reports the load to entries when a report is due. Owned by the control thread. */
public final class LoadReporter {
    private final ReportPacer pacer;
    private final Supplier<LoadReport> load;
    private final Consumer<LoadReport> send;
    private final OneShotTimer timer;
    private @Nullable LoadReport lastReported;

    /**
     * Creates a reporter that has sent no report yet.
     *
     * @param control thread that owns the state
     * @param pacer determines when a report is due
     * @param load supplies the current load
     * @param send sends a report to all entries
     */
    public LoadReporter(
            ControlThread control,
            ReportPacer pacer,
            Supplier<LoadReport> load,
            Consumer<LoadReport> send) {
        this.pacer = pacer;
        this.load = load;
        this.send = send;
        this.timer = OneShotTimer.of(control, this::reportNow);
    }

    /** A call arrived, started or ended: entries expect a report after it, changed or not. */
    public void onCallsChanged() {
        pacer.onChange();
        scheduleNext();
    }

    /** Schedules a report if the load differs from the last one reported. */
    public void scheduleIfChanged() {
        if (hasChanged()) {
            onCallsChanged();
        }
    }

    /** Sends a report immediately if the load differs from the last one reported. */
    public void reportIfChanged() {
        if (hasChanged()) {
            reportNow();
        }
    }

    /** Sends a report immediately. */
    public void reportNow() {
        LoadReport next = load.get();
        lastReported = next;
        pacer.onReportSent(System.nanoTime());
        scheduleNext();
        send.accept(next);
    }

    private boolean hasChanged() {
        return !load.get().equals(lastReported);
    }

    private void scheduleNext() {
        timer.scheduleWithin(Duration.ofNanos(pacer.nanosUntilDue(System.nanoTime())));
    }
}
