package org.sardinelift.entry.control;

import org.sardinelift.core.catalog.ConfigProblem;
import org.sardinelift.core.limit.ShareCall;
import org.sardinelift.core.limit.ShareLedger;
import org.sardinelift.core.limit.Shares;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.StoredObject;
import org.sardinelift.objects.WriteResult;
import org.sardinelift.objects.kinds.DecodeResult;
import org.sardinelift.objects.kinds.SharesCodec;
import org.sardinelift.runtime.ControlThread;
import org.tinylog.Logger;

/** Executes a ledger's platform calls and reports the outcomes to it on the control thread. */
final class ShareStore {
    private final ObjectStore store;
    private final ControlThread control;
    private final ShareLedger ledger;
    private final Runnable onOutcome;
    private SharesListener listener = SharesListener.NONE;

    ShareStore(ObjectStore store, ControlThread control, ShareLedger ledger, Runnable onOutcome) {
        this.store = store;
        this.control = control;
        this.ledger = ledger;
        this.onOutcome = onOutcome;
    }

    void setListener(SharesListener newListener) {
        listener = newListener;
    }

    void execute(ShareCall call) {
        if (call instanceof ShareCall.Write write) {
            write(write);
        } else {
            read(call.number());
        }
    }

    private void read(long number) {
        store.read(SharesCodec.OBJECT_KEY)
                .thenAccept(result -> control.execute(() -> onRead(number, result)));
    }

    private void onRead(long number, ReadResult result) {
        long now = System.nanoTime();
        if (result instanceof ReadResult.Found found) {
            onFound(number, found.object(), now);
        } else if (result instanceof ReadResult.Absent) {
            ledger.onRead(number, ObjectStore.ABSENT_VERSION, Shares.initial(), now);
        } else {
            ledger.onFailed(number, now);
        }
        onOutcome.run();
    }

    private void onFound(long number, StoredObject object, long now) {
        DecodeResult<Shares> result = SharesCodec.decode(object.value());
        if (result instanceof DecodeResult.Valid<Shares> valid) {
            listener.onRead(valid.item());
            ledger.onRead(number, object.version(), valid.item(), now);
        } else if (result instanceof DecodeResult.Invalid<Shares> invalid) {
            for (ConfigProblem problem : invalid.problems()) {
                Logger.error("{} This entry's share of the limits is left unchanged.", problem);
            }
            ledger.onFailed(number, now);
        }
    }

    private void write(ShareCall.Write write) {
        store.write(
                        SharesCodec.OBJECT_KEY,
                        write.expectedVersion(),
                        SharesCodec.encode(write.shares()))
                .thenAccept(result -> control.execute(() -> onWritten(write, result)));
    }

    private void onWritten(ShareCall.Write write, WriteResult result) {
        listener.onWritten(write.shares(), result);
        if (result instanceof WriteResult.Written written) {
            ledger.onWritten(write.number(), written.version(), System.nanoTime());
        } else {
            ledger.onFailed(write.number(), System.nanoTime());
        }
        onOutcome.run();
    }
}
