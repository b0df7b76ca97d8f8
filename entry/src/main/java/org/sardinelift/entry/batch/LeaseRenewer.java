package org.sardinelift.entry.batch;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Supplier;
import org.sardinelift.core.batch.Holder;
import org.sardinelift.core.batch.OwnLease;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.ReadResult;
import org.sardinelift.objects.WriteResult;
import org.tinylog.Logger;

/** Renews this entry's lease with one write per period. */
final class LeaseRenewer {
    private final JobStore store;
    private final BatchSettings settings;
    private final Holder self;
    private final ObjectKey key;
    private final OwnLease ownLease;
    private final Supplier<ObjectNode> loads;
    private final Runnable onRegained;
    private long version = ObjectStore.ABSENT_VERSION;
    private long renewals;
    private boolean isVersionKnown;
    private boolean isStopped;

    LeaseRenewer(
            JobStore store,
            BatchSettings settings,
            Holder self,
            Supplier<ObjectNode> loads,
            Runnable onRegained) {
        this.store = store;
        this.settings = settings;
        this.self = self;
        this.key = new ObjectKey(OpenJobs.LEASE_KIND, OpenJobs.LEASE_PREFIX + self.instance());
        this.ownLease = OwnLease.of(settings.leaseValid());
        this.loads = loads;
        this.onRegained = onRegained;
    }

    OwnLease ownLease() {
        return ownLease;
    }

    void start() {
        renew();
    }

    /** Releases the lease. */
    void stop() {
        isStopped = true;
        ownLease.onLost();
        store.deleteAnyVersion(key);
    }

    private void renew() {
        if (isStopped) {
            return;
        }
        if (!isVersionKnown) {
            store.read(key, this::onRead);
            return;
        }
        long sent = store.control().nanos();
        renewals++;
        String value =
                BatchJson.newObject()
                        .put("incarnation", self.incarnation())
                        .put("renewals", renewals)
                        .<ObjectNode>set("loads", loads.get())
                        .toString();
        store.write(key, version, value, result -> onWrite(result, sent));
    }

    private void onRead(ReadResult result) {
        if (result instanceof ReadResult.Unavailable) {
            ownLease.onUnanswered(store.control().nanos());
            scheduleRenewal();
            return;
        }
        version =
                result instanceof ReadResult.Found found
                        ? Math.max(version, found.object().version())
                        : version;
        isVersionKnown = true;
        renew();
    }

    private void onWrite(WriteResult result, long sent) {
        if (result instanceof WriteResult.Written written) {
            boolean wasValid = ownLease.isValid(store.control().nanos());
            version = written.version();
            ownLease.onRenewed(sent);
            if (!wasValid) {
                onRegained.run();
            }
        } else if (result instanceof WriteResult.Conflict conflict) {
            Logger.info(
                    "Lease of {} has version {}, expected {}; renewing it from that version",
                    self.instance(),
                    conflict.actualVersion(),
                    version);
            version = conflict.actualVersion();
            store.control().schedule(store.backoff().pause(1), this::renew);
            return;
        } else {
            isVersionKnown = result instanceof WriteResult.NotWritten;
            ownLease.onUnanswered(store.control().nanos());
        }
        scheduleRenewal();
    }

    private void scheduleRenewal() {
        store.control().schedule(settings.leasePeriod(), this::renew);
    }
}
