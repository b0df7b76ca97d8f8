package org.sardinelift.bench.model;

import java.time.Duration;

/**
 * A fleet and its load.
 *
 * @param zones availability zones
 * @param gatewaysPerZone gateways in each
 * @param targetsPerZone targets in each
 * @param slots calls that a target runs at once
 * @param callsPerSecond online calls on average
 * @param jobsPerSecond batch jobs on average
 * @param itemsPerJob items of a job
 * @param low traffic in a low step, as a multiple of the average
 * @param high traffic in a high step, as a multiple of the average
 * @param lowStep length of a low step
 * @param highStep length of a high step
 * @param length length of the run
 * @param seed seed of arrivals and sizes
 */
public record ModelSettings(
        int zones,
        int gatewaysPerZone,
        int targetsPerZone,
        int slots,
        double callsPerSecond,
        double jobsPerSecond,
        int itemsPerJob,
        double low,
        double high,
        Duration lowStep,
        Duration highStep,
        Duration length,
        long seed) {

    /**
     * Three zones with two gateways and two targets each, and the steps of the users' traffic.
     *
     * @param load online and batch load, 1 for what fills 84 in 100 slots on average
     * @param seed seed of arrivals and sizes
     * @return the settings
     */
    public static ModelSettings small(double load, long seed) {
        return new ModelSettings(
                3,
                2,
                2,
                8,
                28.8 * load,
                0.36 * load,
                10,
                0.383,
                1.87,
                Duration.ofMillis(3_400),
                Duration.ofMillis(2_400),
                Duration.ofSeconds(60),
                seed);
    }

    /**
     * The same with fewer targets, as after a loss.
     *
     * @param perZone targets in each zone
     * @return the settings
     */
    public ModelSettings withTargets(int perZone) {
        return new ModelSettings(
                zones,
                gatewaysPerZone,
                perZone,
                slots,
                callsPerSecond,
                jobsPerSecond,
                itemsPerJob,
                low,
                high,
                lowStep,
                highStep,
                length,
                seed);
    }

    /**
     * The same without batch jobs.
     *
     * @return the settings
     */
    public ModelSettings withoutBatch() {
        return new ModelSettings(
                zones,
                gatewaysPerZone,
                targetsPerZone,
                slots,
                callsPerSecond,
                0,
                itemsPerJob,
                low,
                high,
                lowStep,
                highStep,
                length,
                seed);
    }

    int targets() {
        return zones * targetsPerZone;
    }

    int gateways() {
        return zones * gatewaysPerZone;
    }
}
