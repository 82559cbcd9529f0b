/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableSortedMap;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The extensions at the end of a message, in the order of their numbers.
 *
 * <p>Nodes of older versions pass over them, so that a new part needs no new protocol version. They
 * are written only if there are any: their count, and the number, length and bytes of each. Content
 * is compared by value. Immutable and thread-safe.
 */
final class MessageExtensions {
  /** A message without extensions. */
  static final MessageExtensions NONE = new MessageExtensions(ImmutableSortedMap.of());

  /** The maximum number of extensions of a message. */
  static final int MAX_EXTENSIONS = 16;

  /** The maximum number of an extension, which is sent in 16 bits. */
  static final int MAX_ID = 0xFFFF;

  private static final Logger log = LoggerFactory.getLogger(MessageExtensions.class);

  private final ImmutableSortedMap<Integer, Content> content;

  /** The bytes of an extension, which are never modified. */
  private record Content(byte[] bytes) {
    @Override
    public boolean equals(Object other) {
      return other instanceof Content c && Arrays.equals(bytes, c.bytes);
    }

    @Override
    public int hashCode() {
      return Arrays.hashCode(bytes);
    }
  }

  private MessageExtensions(Map<Integer, Content> content) {
    this.content = ImmutableSortedMap.copyOf(content);
  }

  /** Returns whether there are no extensions. */
  boolean isEmpty() {
    return content.isEmpty();
  }

  /** Returns a copy of the bytes of an extension; empty if the message does not have it. */
  Optional<byte[]> get(ExtensionId id) {
    return Optional.ofNullable(content.get(id.number())).map(c -> c.bytes().clone());
  }

  /**
   * Parses an extension.
   *
   * @param parser throws {@link IllegalArgumentException} if the bytes are malformed
   * @return the content; empty if the message does not have the extension, or if it is malformed,
   *     which is counted
   */
  <T> Optional<T> parse(ExtensionId id, Function<byte[], T> parser) {
    Optional<byte[]> bytes = get(id);
    try {
      Optional<T> parsed = bytes.map(parser);
      parsed.ifPresent(p -> ExtensionCounts.PROCESS.read(id));
      return parsed;
    } catch (IllegalArgumentException e) {
      reportMalformed(id, e);
      return Optional.empty();
    }
  }

  /**
   * Returns these extensions with one added or replaced.
   *
   * @throws IllegalArgumentException if there would be more than {@link #MAX_EXTENSIONS}
   */
  MessageExtensions with(ExtensionId id, byte[] bytes) {
    Map<Integer, Content> all = new TreeMap<>(content);
    all.put(id.number(), new Content(bytes.clone()));
    if (all.size() > MAX_EXTENSIONS) {
      throw new IllegalArgumentException(
          "a message has " + all.size() + " extensions: use at most " + MAX_EXTENSIONS);
    }
    return new MessageExtensions(all);
  }

  /** Returns these extensions without one. */
  MessageExtensions without(ExtensionId id) {
    Map<Integer, Content> all = new HashMap<>(content);
    return all.remove(id.number()) == null ? this : new MessageExtensions(all);
  }

  /** Writes the extensions, and nothing if there are none. */
  void write(TCompactProtocol out) throws TException {
    if (content.isEmpty()) {
      return;
    }
    out.writeByte((byte) content.size());
    for (Map.Entry<Integer, Content> e : content.entrySet()) {
      byte[] bytes = e.getValue().bytes();
      out.writeI16(e.getKey().shortValue());
      out.writeI32(bytes.length);
      out.getTransport().write(bytes, 0, bytes.length);
      ExtensionId.of(e.getKey()).ifPresent(ExtensionCounts.PROCESS::written);
    }
  }

  /**
   * Reads the extensions at the end of a message. The end of the datagram means that there are
   * none; malformed extensions are ignored and counted.
   */
  static MessageExtensions read(TCompactProtocol in) {
    if (in.getTransport().getBytesRemainingInBuffer() <= 0) {
      return NONE;
    }
    try {
      return new MessageExtensions(readContent(in));
    } catch (TException | IllegalArgumentException | IndexOutOfBoundsException e) {
      ExtensionCounts.PROCESS.malformedTrailer();
      log.debug("event=extensions_malformed cause=\"{}\"", RelayFactLog.text("" + e.getMessage()));
      return NONE;
    }
  }

  private static Map<Integer, Content> readContent(TCompactProtocol in) throws TException {
    int count = in.readByte();
    if (count < 0 || count > MAX_EXTENSIONS) {
      throw new IllegalArgumentException(count + " is not a valid number of extensions");
    }
    Map<Integer, Content> all = new HashMap<>();
    for (; count > 0; count--) {
      int id = in.readI16() & MAX_ID;
      int length = in.readI32();
      if (length < 0 || length > in.getTransport().getBytesRemainingInBuffer()) {
        throw new IllegalArgumentException(length + " is not a valid length of an extension");
      }
      byte[] bytes = new byte[length];
      in.getTransport().readAll(bytes, 0, length);
      all.put(id, new Content(bytes));
    }
    return all;
  }

  /** Records that a known extension could not be parsed, and is ignored. */
  static void reportMalformed(ExtensionId id, Exception cause) {
    ExtensionCounts.PROCESS.malformed(id);
    log.debug(
        "event=extension_malformed extension={} cause=\"{}\"",
        id.slug(),
        RelayFactLog.text("" + cause.getMessage()));
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof MessageExtensions e && content.equals(e.content);
  }

  @Override
  public int hashCode() {
    return content.hashCode();
  }

  @Override
  public String toString() {
    return content.keySet().toString();
  }
}
