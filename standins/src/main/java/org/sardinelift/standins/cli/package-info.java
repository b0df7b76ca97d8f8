/** Command line of the stand-ins. */
@NullMarked
package org.sardinelift.standins.cli;

import org.jspecify.annotations.NullMarked;
