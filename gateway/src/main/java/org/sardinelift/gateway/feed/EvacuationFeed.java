package org.sardinelift.gateway.feed;

import io.netty.channel.EventLoop;
import java.util.function.Consumer;
import org.sardinelift.gateway.peer.EvacuationReports;
import org.sardinelift.objects.ListResult;
import org.sardinelift.objects.ObjectStore;
import org.sardinelift.runtime.ControlThread;

/**
 * Lists the requests to evacuate zones. Their content is not looked at, so that one that can't be
 * parsed evacuates its zone as well. Failures aren't counted as an outage of the store, which may
 * refuse this kind only.
 */
public final class EvacuationFeed implements EvacuationReports.Lister {
    private final String kind;
    private final ObjectStore store;
    private final ControlThread control;
    private final EventLoop loop;

    private EvacuationFeed(String kind, ObjectStore store, ControlThread control, EventLoop loop) {
        this.kind = kind;
        this.store = store;
        this.control = control;
        this.loop = loop;
    }

    /**
     * Creates a feed.
     *
     * @param kind kind of the objects
     * @param store the platform's store
     * @param control the control thread, which calls the store
     * @param loop the event loop, which receives the results
     * @return the feed
     */
    public static EvacuationFeed of(
            String kind, ObjectStore store, ControlThread control, EventLoop loop) {
        return new EvacuationFeed(kind, store, control, loop);
    }

    @Override
    public void list(Consumer<ListResult> onResult) {
        control.execute(() -> store.list(kind, "").thenAcceptAsync(onResult, loop::execute));
    }
}
