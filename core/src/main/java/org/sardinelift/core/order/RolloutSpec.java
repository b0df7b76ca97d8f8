package org.sardinelift.core.order;

/**
 * A roll-out as an operator requests it.
 *
 * @param name name of the object
 * @param id unique for each start of a roll-out
 * @param revision store revision of the object; of two starts the larger one is the newer
 * @param service service whose targets are to change
 * @param goal model version or role that the targets are to have
 * @param minServingFraction least fraction of the service's targets that keep serving, 0 to 1
 * @param isStopped whether the operator has stopped it
 */
public record RolloutSpec(
        String name,
        String id,
        long revision,
        String service,
        RolloutGoal goal,
        double minServingFraction,
        boolean isStopped) {

    /**
     * Whether this roll-out was started after another.
     *
     * @param other a roll-out of the same name
     * @return true if it replaces the other
     */
    public boolean isNewerThan(RolloutSpec other) {
        return !id.equals(other.id) && revision > other.revision;
    }

    /**
     * Returns the least number of targets that must serve.
     *
     * @param targets number of targets of the service
     * @return number of targets, rounded up
     */
    public int minServing(int targets) {
        return (int) Math.ceil(minServingFraction * targets);
    }
}
