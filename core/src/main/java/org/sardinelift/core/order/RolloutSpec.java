package org.sardinelift.core.order;

/**
 * What an operator wants.
 *
 * @param name name of the object
 * @param id unique for each start of a roll-out
 * @param revision store revision of the object; of two starts the larger one is the newer
 * @param service service whose targets are to change
 * @param goal what they are to hold
 * @param leastServing least fraction of the service's targets that go on serving, 0 to 1
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
     * Whether this was started after another.
     *
     * @param other a roll-out of the same name
     * @return true where it takes the other's place
     */
    public boolean isNewerThan(RolloutSpec other) {
        return !id.equals(other.id) && revision > other.revision;
    }

    /**
     * Fewest targets that must serve.
     *
     * @param targets targets of the service
     * @return their number, rounded up
     */
    public int minServing(int targets) {
        return (int) Math.ceil(minServingFraction * targets);
    }
}
