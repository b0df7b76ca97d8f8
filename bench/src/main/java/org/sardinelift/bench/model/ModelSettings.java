package org.sardinelift.bench.model;

import java.time.Duration;

/**
 * Settings of a simulated fleet and its load.
 *
 * @param zones availability zones
 * @param gatewaysPerZone gateways in each zone
 * @param targetsPerZone targets in each zone
 * @param slots calls that a target runs at once
 * @param callsPerSecond online calls on average
 * @param jobsPerSecond batch jobs on average
 * @param itemsPerJob items of a job
 * @param lowFactor traffic in a low step, as a multiple of the average
 * @param highFactor traffic in a high step, as a multiple of the average
 * @param lowDuration length of a low step
 * @param highDuration length of a high step
 * @param duration length of the run
 * @param limitedTargets targets that limit the rate of their requests
 * @param targetRequestsPerSecond their limit
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
        double lowFactor,
        double highFactor,
        Duration lowDuration,
        Duration highDuration,
        Duration duration,
        int limitedTargets,
        double targetRequestsPerSecond,
        long seed) {

    /**
     * Returns a fleet of three zones with two gateways and two targets each, and the steps of the
     * users' traffic.
     *
     * @param load online and batch load; at 1 it fills 84 % of the slots on average
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
                0,
                0,
                seed);
    }

    /**
     * Returns these settings with another number of targets, as after a loss.
     *
     * @param perZone targets in each zone
     * @return the settings
     */
    public ModelSettings withTargetsPerZone(int perZone) {
        return new ModelSettings(
                zones,
                gatewaysPerZone,
                perZone,
                slots,
                callsPerSecond,
                jobsPerSecond,
                itemsPerJob,
                lowFactor,
                highFactor,
                lowDuration,
                highDuration,
                duration,
                limitedTargets,
                targetRequestsPerSecond,
                seed);
    }

    /**
     * Returns these settings without batch jobs.
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
                lowFactor,
                highFactor,
                lowDuration,
                highDuration,
                duration,
                limitedTargets,
                targetRequestsPerSecond,
                seed);
    }

    /**
     * Returns these settings with targets that limit the rate of their requests.
     *
     * @param count number of these targets
     * @param requestsPerSecond requests that each takes from all instances together
     * @return the settings
     */
    public ModelSettings withLimitedTargets(int count, double requestsPerSecond) {
        return new ModelSettings(
                zones,
                gatewaysPerZone,
                targetsPerZone,
                slots,
                callsPerSecond,
                jobsPerSecond,
                itemsPerJob,
                lowFactor,
                highFactor,
                lowDuration,
                highDuration,
                duration,
                count,
                requestsPerSecond,
                seed);
    }

    int targets() {
        return zones * targetsPerZone;
    }

    int gateways() {
        return zones * gatewaysPerZone;
    }
}
