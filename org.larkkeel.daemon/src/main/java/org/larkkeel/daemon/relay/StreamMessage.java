/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import java.util.Optional;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.larkkeel.relay.BuildName;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.StreamBuild;
import org.larkkeel.relay.StreamId;
import org.larkkeel.relay.StreamLookup;

/**
 * A message about the build that began a stream, the content of {@link ExtensionId#STREAM}.
 *
 * <p>Immutable and thread-safe.
 */
sealed interface StreamMessage {
  /** A build has begun a stream. */
  record Told(StreamBuild stream) implements StreamMessage {}

  /** As {@link Told}, for the receiver to write to the store. */
  record ToStore(StreamBuild stream) implements StreamMessage {}

  /** Asks which build began a stream. */
  record Asked(StreamId stream, ServiceName service) implements StreamMessage {}

  /**
   * The answer to {@link Asked}.
   *
   * @param stream the stream
   * @param result what the node knows of it
   * @param current whether the node has read its list of upstreams from the store a moment ago
   */
  record Answered(StreamId stream, StreamLookup result, boolean current) implements StreamMessage {}

  /** Encodes a message. */
  static byte[] toBytes(StreamMessage message) {
    return ExtensionBytes.write(
        out -> {
          switch (message) {
            case Told m -> write(out, Codes.TOLD, m.stream());
            case ToStore m -> write(out, Codes.TO_STORE, m.stream());
            case Asked m -> {
              out.writeByte(Codes.ASKED);
              out.writeString(m.stream().value());
              out.writeString(m.service().value());
            }
            case Answered m -> write(out, m);
          }
        });
  }

  private static void write(TCompactProtocol out, byte code, StreamBuild s) throws TException {
    out.writeByte(code);
    out.writeString(s.stream().value());
    out.writeString(s.service().value());
    out.writeString(s.build().value());
  }

  private static void write(TCompactProtocol out, Answered m) throws TException {
    out.writeByte(Codes.ANSWERED);
    out.writeString(m.stream().value());
    switch (m.result()) {
      case StreamLookup.Known k -> writeResult(out, Codes.KNOWN, k.build());
      case StreamLookup.Sole s -> writeResult(out, Codes.SOLE, s.build());
      case StreamLookup.Listed l -> writeResult(out, Codes.LISTED, l.build());
      case StreamLookup.Unknown u -> out.writeByte(Codes.UNKNOWN);
    }
    out.writeBool(m.current());
  }

  private static void writeResult(TCompactProtocol out, byte code, BuildName build)
      throws TException {
    out.writeByte(code);
    out.writeString(build.value());
  }

  /** Decodes the message about a stream; empty if there is none or it is malformed. */
  static Optional<StreamMessage> read(PeerMessage message) {
    return ExtensionBytes.read(message, ExtensionId.STREAM, StreamMessage::read);
  }

  private static StreamMessage read(TCompactProtocol in) throws TException {
    byte kind = in.readByte();
    StreamId stream = new StreamId(in.readString());
    return switch (kind) {
      case Codes.TOLD -> new Told(readBuild(stream, in));
      case Codes.TO_STORE -> new ToStore(readBuild(stream, in));
      case Codes.ASKED -> new Asked(stream, new ServiceName(in.readString()));
      case Codes.ANSWERED -> new Answered(stream, readResult(in), readCurrent(in));
      default -> throw new IllegalArgumentException(kind + " is no kind of message");
    };
  }

  private static StreamBuild readBuild(StreamId stream, TCompactProtocol in) throws TException {
    return new StreamBuild(
        stream, new ServiceName(in.readString()), new BuildName(in.readString()));
  }

  /** Reads whether the list of the node is current, which nodes of older builds do not tell. */
  private static boolean readCurrent(TCompactProtocol in) throws TException {
    return in.getTransport().getBytesRemainingInBuffer() > 0 && in.readBool();
  }

  private static StreamLookup readResult(TCompactProtocol in) throws TException {
    byte code = in.readByte();
    return switch (code) {
      case Codes.KNOWN -> new StreamLookup.Known(new BuildName(in.readString()));
      case Codes.SOLE -> new StreamLookup.Sole(new BuildName(in.readString()));
      case Codes.LISTED -> new StreamLookup.Listed(new BuildName(in.readString()));
      case Codes.UNKNOWN -> new StreamLookup.Unknown();
      default -> throw new IllegalArgumentException(code + " is no result");
    };
  }

  /** The numbers that are sent, which must not change. */
  final class Codes {
    static final byte TOLD = 1;
    static final byte ASKED = 2;
    static final byte ANSWERED = 3;
    static final byte TO_STORE = 4;
    static final byte UNKNOWN = 0;
    static final byte KNOWN = 1;
    static final byte SOLE = 2;
    static final byte LISTED = 3;

    private Codes() {}
  }
}
