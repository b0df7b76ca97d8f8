package org.sardinelift.server;

import org.sardinelift.settings.SettingsNode;

/**
 * Settings of one instance.
 *
 * @param starter starts the instance in its role
 */
record ServerSettings(Role.InstanceStarter starter) {

    /** Reads the settings; configures the log first, since reading a role's settings may log. */
    static ServerSettings read(SettingsNode node) {
        String logLevel =
                node.object("log").choice("level", "info", "trace", "debug", "warn", "error");
        Role role = Role.named(node.choice("role", "entry", "companion", "gateway", "worker"));
        LogOutput.of(role).configure(logLevel);
        return new ServerSettings(role.read(node));
    }
}
