/** JSON codecs for the kinds of object that this system stores. */
@NullMarked
package org.sardinelift.objects.kinds;

import org.jspecify.annotations.NullMarked;
