package org.sardinelift.ctl.command;

import org.apache.commons.cli.Options;

/** Options that several commands have in common. */
final class CommonOptions {
    private CommonOptions() {}

    static Options platform() {
        return new Options()
                .addOption(
                        Command.longOption(
                                "platform",
                                "HOST:PORT",
                                "address of the platform, or " + CommandContext.PLATFORM_VARIABLE));
    }

    static Options store() {
        return new Options()
                .addOption(
                        Command.longOption(
                                "store",
                                "HOST:PORT",
                                "store of the gateways and workers, or "
                                        + CommandContext.STORE_VARIABLE));
    }

    static Options caller() {
        return new Options()
                .addOption(
                        Command.longOption(
                                "entry",
                                "HOST:PORT",
                                "callers' port of an entry, or " + CommandContext.ENTRY_VARIABLE))
                .addOption(
                        Command.longOption(
                                "key",
                                "KEY",
                                "caller's key; prefer " + CommandContext.KEY_VARIABLE));
    }

    static Options operators() {
        return new Options()
                .addOption(
                        Command.longOption(
                                "operators",
                                "HOST:PORT,...",
                                "operators' ports of the instances, or "
                                        + CommandContext.OPERATORS_VARIABLE));
    }
}
