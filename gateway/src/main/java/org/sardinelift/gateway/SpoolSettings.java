package org.sardinelift.gateway;

import java.nio.file.Path;
import org.sardinelift.settings.SettingsNode;

/**
 * Settings of the spool, in which a worker keeps jobs that the store can't accept yet.
 *
 * @param folder folder on the instance's disk
 * @param toleratedLosses disks that may be lost at once; a job is kept on one more
 */
public record SpoolSettings(Path folder, int toleratedLosses) {
    private static final int MAX_LOSSES = 10;

    static SpoolSettings read(SettingsNode node) {
        return new SpoolSettings(
                Path.of(node.text("folder")), node.integer("losses", 1, 0, MAX_LOSSES));
    }

    /**
     * Number of disks that must store a job before it counts as accepted.
     *
     * @return the number, including this instance's disk
     */
    public int requiredCopies() {
        return toleratedLosses + 1;
    }
}
