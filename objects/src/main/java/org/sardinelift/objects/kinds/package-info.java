/** JSON codecs of the system's own kinds of object. */
@NullMarked
package org.sardinelift.objects.kinds;

import org.jspecify.annotations.NullMarked;
