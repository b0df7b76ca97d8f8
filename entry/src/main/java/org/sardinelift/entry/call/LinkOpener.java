package org.sardinelift.entry.call;

import org.sardinelift.core.fleet.InstanceInfo;
import org.sardinelift.protocol.FrameListener;
import org.sardinelift.protocol.generated.Lane;

/** Opens connections to companions. */
@FunctionalInterface
public interface LinkOpener {

    /** A connection that is reopened after a loss until it is closed. */
    interface Link {
        /** Closes the link for good. */
        void close();
    }

    /**
     * Opens a link.
     *
     * @param companion the companion
     * @param lane lane that the link carries
     * @param listener is notified of connections and frames
     * @return the open link
     */
    Link open(InstanceInfo companion, Lane lane, FrameListener listener);
}
