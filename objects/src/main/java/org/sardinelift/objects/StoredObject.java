package org.sardinelift.objects;

/**
 * One version of an object in the platform's store.
 *
 * @param key kind and name of the object
 * @param version number of this version; starts at 1, grows by one with each write
 * @param revision the store's revision at which this version was written
 * @param value UTF-8 text, at most 1 MB
 */
public record StoredObject(ObjectKey key, long version, long revision, String value) {}
