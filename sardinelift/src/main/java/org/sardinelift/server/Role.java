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

/** What an instance does; each role reads its own settings and starts its own process. */
enum Role {
    /** Takes callers' requests behind the balancer. */
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
    /** Stands beside a target and is the only way to it. */
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
    /** Takes callers' requests and sends them to targets itself, on the users' platform. */
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
    /** Keeps and runs batch jobs on the users' platform. */
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
     * @return starts the instance
     */
    abstract InstanceStarter read(SettingsNode node);

    static Role named(String name) {
        return valueOf(name.toUpperCase(Locale.ROOT));
    }

    /** An instance that can be started. */
    interface InstanceStarter {
        Instance start() throws Exception;
    }

    /**
     * A running instance.
     *
     * @param readyLine machine-readable line for standard output
     * @param drainRequested completes once an operator asks for a drain
     * @param drain finishes what runs and takes nothing new; returns when done
     * @param resources closed after the drain
     */
    record Instance(
            String readyLine,
            CompletableFuture<Void> drainRequested,
            Runnable drain,
            AutoCloseable resources) {}
}
