package org.sardinelift.core.limit;

/**
 * Identifies one incarnation of an entry as a member of {@link Shares}.
 *
 * @param instance instance name
 * @param incarnation unique to this start of the process
 */
public record MemberId(String instance, String incarnation) implements Comparable<MemberId> {

    @Override
    public int compareTo(MemberId other) {
        int byInstance = instance.compareTo(other.instance);
        return byInstance != 0 ? byInstance : incarnation.compareTo(other.incarnation);
    }
}
