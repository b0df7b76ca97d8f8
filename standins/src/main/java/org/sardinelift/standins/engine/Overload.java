package org.sardinelift.standins.engine;

/** How the engine handles requests beyond its slots. All are admitted. */
public enum Overload {
    /** They wait in order of arrival. */
    WAIT {
        @Override
        int running(int admitted, int slots) {
            return Math.min(admitted, slots);
        }
    },
    /** They run at once and slow down all others. */
    SLOW {
        @Override
        int running(int admitted, int slots) {
            return admitted;
        }
    };

    abstract int running(int admitted, int slots);
}
