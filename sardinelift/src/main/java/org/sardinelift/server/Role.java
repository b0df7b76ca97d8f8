package org.sardinelift.server;

import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import org.sardinelift.companion.CompanionProcess;
import org.sardinelift.companion.CompanionSettings;
import org.sardinelift.entry.EntryProcess;
import org.sardinelift.entry.EntrySettings;
import org.sardinelift.gateway.GatewayProcess;
import org.sardinelift.gateway.GatewaySettings;
import org.sardinelift.gateway.WorkerProcess;
import org.sardinelift.gateway.WorkerSettings;
import org.sardinelift.platform.PotRegistryAdapter;
import org.sardinelift.settings.SettingsNode;

/** Role of an instance; each role reads its own settings and starts its own process. */
enum Role {
    /** Accepts callers' requests behind the load balancer. */
    ENTRY {
        @Override
        InstanceStarter read(SettingsNode node) {
            EntrySettings settings = EntrySettings.read(node);
            return () -> {
                EntryProcess process = EntryProcess.start(settings);
                return new Instance(
                        process.readyLine(),
                        process.drainRequested(),
                        () -> process.drain().join(),
                        process);
            };
        }
    },
    /** Runs beside a target and passes all calls to it. */
    COMPANION {
        @Override
        InstanceStarter read(SettingsNode node) {
            CompanionSettings settings = CompanionSettings.read(node);
            return () -> {
                CompanionProcess process = CompanionProcess.start(settings);
                return new Instance(
                        process.readyLine(), process.drainRequested(), process::drain, process);
            };
        }
    },
    /** Accepts callers' requests and sends them directly to targets, on the users' platform. */
    GATEWAY {
        @Override
        InstanceStarter read(SettingsNode node) {
            GatewaySettings settings = GatewaySettings.read(node);
            return () -> {
                GatewayProcess process =
                        GatewayProcess.start(settings, PotRegistryAdapter.create());
                return new Instance(
                        process.readyLine(), process.drainRequested(), process::drain, process);
            };
        }
    },
    /** Stores and runs batch jobs on the users' platform. */
    WORKER {
        @Override
        InstanceStarter read(SettingsNode node) {
            WorkerSettings settings = WorkerSettings.read(node);
            return () -> {
                WorkerProcess process = WorkerProcess.start(settings, PotRegistryAdapter.create());
                return new Instance(
                        process.readyLine(), process.drainRequested(), process::drain, process);
            };
        }
    };

    /**
     * Reads the settings of this role.
     *
     * @param node root of the settings file
     * @return starter of the instance
     */
    abstract InstanceStarter read(SettingsNode node);

    static Role named(String name) {
        return valueOf(name.toUpperCase(Locale.ROOT));
    }

    /** Starts an instance. */
    interface InstanceStarter {
        Instance start() throws Exception;
    }

    /**
     * A running instance.
     *
     * @param readyLine JSON line for standard output
     * @param drainRequested completes once an operator requests a drain
     * @param drain refuses new work and waits until running work has finished
     * @param resources resources to close after the drain
     */
    record Instance(
            String readyLine,
            CompletableFuture<Void> drainRequested,
            Runnable drain,
            AutoCloseable resources) {}
}
