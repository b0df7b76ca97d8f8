package org.sardinelift.entry.control;

import org.sardinelift.core.limit.Shares;
import org.sardinelift.objects.WriteResult;

/** Receives the entries' shares of the limits, on the control thread. */
public interface SharesListener {
    /** Ignores all events. */
    SharesListener NONE =
            new SharesListener() {
                @Override
                public void onRead(Shares shares) {}

                @Override
                public void onWritten(Shares shares, WriteResult result) {}
            };

    /**
     * Called when the shares were read.
     *
     * @param shares the shares stored at the platform
     */
    void onRead(Shares shares);

    /**
     * Called when this entry has tried to write the shares.
     *
     * @param shares the shares that it tried to write
     * @param result the result of the write
     */
    void onWritten(Shares shares, WriteResult result);
}
