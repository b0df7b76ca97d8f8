/** The server binary: runs one instance in the role given by its settings. */
@NullMarked
package org.sardinelift.server;

import org.jspecify.annotations.NullMarked;
