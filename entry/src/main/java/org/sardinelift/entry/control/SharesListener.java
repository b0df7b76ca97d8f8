package org.sardinelift.entry.control;

import org.sardinelift.core.limit.Shares;
import org.sardinelift.objects.WriteResult;

/** Sees the shares that entries hold of the limits, on the control thread. */
public interface SharesListener {
    /** Sees nothing. */
    SharesListener NONE =
            new SharesListener() {
                @Override
                public void onRead(Shares shares) {}

                @Override
                public void onWritten(Shares shares, WriteResult result) {}
            };

    /**
     * The shares were read.
     *
     * @param shares what the platform holds
     */
    void onRead(Shares shares);

    /**
     * This entry tried to write the shares.
     *
     * @param shares what it tried to write
     * @param result what came of it
     */
    void onWritten(Shares shares, WriteResult result);
}
