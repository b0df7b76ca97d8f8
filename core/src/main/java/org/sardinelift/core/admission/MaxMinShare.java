package org.sardinelift.core.admission;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Weighted max-min division of slots: no demand is cut while one above its share gets more. */
public final class MaxMinShare {
    private MaxMinShare() {}

    /**
     * A demand for slots.
     *
     * @param slots slots demanded
     * @param weight weight of the demand, positive
     */
    public record Demand(double slots, double weight) {
        double slotsPerWeight() {
            return slots / weight;
        }
    }

    /**
     * Returns the level at which demands are cut.
     *
     * @param demands the demands
     * @param capacity slots to divide
     * @return slots per unit of weight, infinite if all demands fit
     */
    public static double level(Collection<Demand> demands, double capacity) {
        List<Demand> ascending =
                demands.stream()
                        .sorted(Comparator.comparingDouble(Demand::slotsPerWeight))
                        .toList();
        double weight = ascending.stream().mapToDouble(Demand::weight).sum();
        double left = Math.max(0, capacity);
        for (Demand demand : ascending) {
            double level = left / weight;
            if (demand.slotsPerWeight() > level) {
                return level;
            }
            left -= demand.slots();
            weight -= demand.weight();
        }
        return Double.POSITIVE_INFINITY;
    }
}
