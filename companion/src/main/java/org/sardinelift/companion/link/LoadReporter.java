package org.sardinelift.companion.link;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.gate.ReportPacer;
import org.sardinelift.protocol.generated.LoadReport;
import org.sardinelift.runtime.ControlThread;
import org.sardinelift.runtime.OneShotTimer;

/** Tells entries the load when its pace says so. Owned by the control thread. */
public final class LoadReporter {
    private final ReportPacer pace;
    private final Supplier<LoadReport> load;
    private final Consumer<LoadReport> send;
    private final OneShotTimer alarm;
    private @Nullable LoadReport last;

    /**
     * Makes a reporter that has reported nothing yet.
     *
     * @param control owner of the state
     * @param pace when a report is due
     * @param load gives the load as it is
     * @param send sends a report to all entries
     */
    public LoadReporter(
            ControlThread control,
            ReportPacer pace,
            Supplier<LoadReport> load,
            Consumer<LoadReport> send) {
        this.pace = pace;
        this.load = load;
        this.send = send;
        this.alarm = OneShotTimer.of(control, this::report);
    }

    /** A call came, started or ended: entries count on a report after it, whatever its figures. */
    public void onChange() {
        pace.onChange();
        setAlarm();
    }

    /** Looks whether the load is another than the one last told. */
    public void compare() {
        if (isOther()) {
            onChange();
        }
    }

    /** Sends a report at once where the load is another than the one last told. */
    public void reportIfChanged() {
        if (isOther()) {
            report();
        }
    }

    /** Sends a report at once. */
    public void report() {
        LoadReport next = load.get();
        last = next;
        pace.onReportSent(System.nanoTime());
        setAlarm();
        send.accept(next);
    }

    private boolean isOther() {
        return !load.get().equals(last);
    }

    private void setAlarm() {
        alarm.within(Duration.ofNanos(pace.nanosUntilDue(System.nanoTime())));
    }
}
