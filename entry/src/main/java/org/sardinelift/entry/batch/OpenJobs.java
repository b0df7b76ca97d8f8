package org.sardinelift.entry.batch;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sardinelift.core.batch.LaneShares;
import org.sardinelift.core.batch.LeaseMonitor;
import org.sardinelift.objects.ListResult;
import org.sardinelift.objects.ObjectKey;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.objects.StoredObject;
import org.sardinelift.objects.WatchResult;
import org.tinylog.Logger;

/**
 * The open jobs and the leases of the entries, kept up to date by one list and one watch. An open
 * job has a marker object that is deleted when the job ends, so that neither the list nor the watch
 * grows with the number of past jobs.
 */
final class OpenJobs {
    /** Kind of the markers, which are named after the job. */
    static final String KIND = "job-open";

    /** Kind of the leases. */
    static final String LEASE_KIND = "lease";

    /** Name prefix of the leases for batch work. */
    static final String LEASE_PREFIX = "batch/";

    private final JobStore store;
    private final BatchSettings settings;
    private final LeaseMonitor leases;
    private final LaneShares shares;
    private final String self;
    private final Consumer<Marker> onChange;
    private final Map<String, Marker> markers = new HashMap<>();
    private long revision;
    private int failures;

    OpenJobs(
            JobStore store,
            BatchSettings settings,
            LeaseMonitor leases,
            LaneShares shares,
            String self,
            Consumer<Marker> onChange) {
        this.store = store;
        this.settings = settings;
        this.leases = leases;
        this.shares = shares;
        this.self = self;
        this.onChange = onChange;
    }

    /**
     * A marker of an open job.
     *
     * @param id the job
     * @param team its team
     * @param isCancelRequested whether a cancel was requested
     */
    record Marker(String id, String team, boolean isCancelRequested) {
        static ObjectKey key(String id) {
            return new ObjectKey(KIND, id);
        }

        String toJson() {
            return BatchJson.newObject()
                    .put("team", team)
                    .put("cancel", isCancelRequested)
                    .toString();
        }

        static Marker parse(StoredObject object) {
            var node = BatchJson.parseStored(object.value());
            return new Marker(
                    object.key().name(),
                    node.path("team").asText(),
                    node.path("cancel").asBoolean(false));
        }
    }

    void start() {
        store.list(KIND, "", this::onJobs);
    }

    Map<String, Marker> markers() {
        return markers;
    }

    /** Records a marker that this entry wrote itself, before the watch reports it. */
    void onMarkerWritten(Marker marker) {
        markers.put(marker.id(), marker);
        onChange.accept(marker);
    }

    private void onJobs(ListResult result) {
        if (!(result instanceof ListResult.Listed listed)) {
            retryLater(this::start);
            return;
        }
        store.list(LEASE_KIND, LEASE_PREFIX, listedLeases -> onLeases(listed, listedLeases));
    }

    private void onLeases(ListResult.Listed jobs, ListResult result) {
        if (!(result instanceof ListResult.Listed listed)) {
            retryLater(this::start);
            return;
        }
        failures = 0;
        revision = Math.min(jobs.revision(), listed.revision());
        markers.clear();
        jobs.objects().forEach(this::updateMarker);
        leases.onWatchAnswered(store.control().nanos());
        listed.objects().forEach(this::updateLease);
        watch();
    }

    private void watch() {
        ObjectStore objects = store.objects();
        store.completeOnControlThread(
                objects.watch(Set.of(KIND, LEASE_KIND), revision, settings.watchWait()),
                this::onWatch);
    }

    private void onWatch(WatchResult result) {
        if (result instanceof WatchResult.Changes changes) {
            failures = 0;
            leases.onWatchAnswered(store.control().nanos());
            changes.changes().forEach(this::apply);
            revision = Math.max(revision, changes.revision());
            store.control().schedule(settings.watchPause(), this::watch);
        } else if (result instanceof WatchResult.Gap) {
            Logger.info("Watch of open jobs and leases missed changes; listing them again");
            start();
        } else {
            retryLater(this::watch);
        }
    }

    private void apply(WatchResult.Change change) {
        StoredObject object = change.object();
        if (change.key().kind().equals(KIND)) {
            if (object == null) {
                markers.remove(change.key().name());
            } else {
                updateMarker(object);
            }
        } else if (change.key().name().startsWith(LEASE_PREFIX)) {
            if (object == null) {
                leases.onRemoved(instanceOf(change.key()));
            } else {
                updateLease(object);
            }
        }
    }

    private void updateMarker(StoredObject object) {
        Marker marker = Marker.parse(object);
        @Nullable Marker before = markers.put(marker.id(), marker);
        if (!marker.equals(before)) {
            onChange.accept(marker);
        }
    }

    private void updateLease(StoredObject object) {
        String instance = instanceOf(object.key());
        JsonNode lease = BatchJson.parseStored(object.value());
        leases.onChanged(
                instance,
                lease.path("incarnation").asText(),
                object.revision(),
                store.control().nanos());
        if (!instance.equals(self)) {
            shares.update(instance, LaneLoads.fromJson(lease.path("loads")));
        }
    }

    private static String instanceOf(ObjectKey key) {
        return key.name().substring(LEASE_PREFIX.length());
    }

    private void retryLater(Runnable task) {
        leases.onWatchFailed();
        failures++;
        store.control().schedule(store.backoff().pause(failures), task);
    }
}
