/** Stand-in for the platform: object API, list of instances and injected faults. */
@NullMarked
package org.sardinelift.standins.platform;

import org.jspecify.annotations.NullMarked;
