package org.sardinelift.gateway;

import java.nio.file.Path;
import org.sardinelift.settings.SettingsNode;

/**
 * Where a worker keeps jobs that the store can't take yet.
 *
 * @param folder folder on the instance's disk
 * @param losses disks that may be lost at once; a job is kept on one more
 */
public record SpoolSettings(Path folder, int toleratedLosses) {
    private static final int MOST_LOSSES = 10;

    static SpoolSettings read(SettingsNode node) {
        return new SpoolSettings(
                Path.of(node.text("folder")), node.integer("losses", 1, 0, MOST_LOSSES));
    }

    /**
     * Disks that must hold a job before it counts as accepted.
     *
     * @return their number, this instance's among them
     */
    public int requiredCopies() {
        return toleratedLosses + 1;
    }
}
