/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.run;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import org.larkkeel.lib.IdempotencyKey;
import org.larkkeel.lib.WorkspaceName;

/** One record in the log of a shard: a change of one run. */
sealed interface RunRecord {

  /** Returns the run that the record changes. */
  RunId key();

  /** Returns the attempt that the record belongs to. */
  RunToken token();

  /** A claim, with the wall time in milliseconds at the owner of the shard. */
  record Claim(RunId key, RunToken token, String bodyDigest, long wallMillis)
      implements RunRecord {}

  /** An attempt that was answered; the answer is empty if it was too large. */
  record Done(RunId key, RunToken token, Optional<RecordedAnswer> answer) implements RunRecord {}

  /** An attempt that certainly did not run; frees the key for another claim. */
  record Release(RunId key, RunToken token) implements RunRecord {}

  /** An attempt that may have run and whose outcome will not be reported. */
  record Lost(RunId key, RunToken token) implements RunRecord {}

  /** Converts run records from and to JSON. */
  final class Codec {
    private static final String TYPE = "type";
    private static final String CLAIM = "claim";
    private static final String DONE = "done";
    private static final String RELEASE = "release";
    private static final String LOST = "lost";
    private static final String WORKSPACE = "workspace";
    private static final String KEY = "key";
    private static final String TOKEN = "token";
    private static final String DIGEST = "digest";
    private static final String AT = "at";
    private static final String STATUS = "status";
    private static final String CONTENT_TYPE = "contentType";
    private static final String BODY = "body";

    private Codec() {}

    static ObjectNode write(RunRecord r) {
      ObjectNode o = JsonNodeFactory.instance.objectNode();
      o.put(WORKSPACE, r.key().workspace().value());
      o.put(KEY, r.key().key().value());
      o.put(TOKEN, r.token().toString());
      return switch (r) {
        case Claim c -> o.put(TYPE, CLAIM).put(DIGEST, c.bodyDigest()).put(AT, c.wallMillis());
        case Done d -> answer(o.put(TYPE, DONE), d.answer());
        case Release x -> o.put(TYPE, RELEASE);
        case Lost l -> o.put(TYPE, LOST);
      };
    }

    static RunRecord read(JsonNode o) {
      RunId key =
          new RunId(
              new WorkspaceName(o.path(WORKSPACE).asText()),
              new IdempotencyKey(o.path(KEY).asText()));
      RunToken token = RunToken.parse(o.path(TOKEN).asText());
      String type = o.path(TYPE).asText();
      return switch (type) {
        case CLAIM -> new Claim(key, token, o.path(DIGEST).asText(), o.path(AT).asLong());
        case DONE -> new Done(key, token, answer(o));
        case RELEASE -> new Release(key, token);
        case LOST -> new Lost(key, token);
        default -> throw new IllegalArgumentException("unknown run record type \"" + type + "\"");
      };
    }

    private static ObjectNode answer(ObjectNode o, Optional<RecordedAnswer> answer) {
      answer.ifPresent(
          a -> o.put(STATUS, a.status()).put(CONTENT_TYPE, a.contentType()).put(BODY, a.body()));
      return o;
    }

    private static Optional<RecordedAnswer> answer(JsonNode o) {
      if (!o.has(STATUS)) {
        return Optional.empty();
      }
      try {
        return Optional.of(
            new RecordedAnswer(
                o.path(STATUS).asInt(), o.path(CONTENT_TYPE).asText(), o.path(BODY).binaryValue()));
      } catch (IOException e) {
        throw new UncheckedIOException("the body of a recorded answer is not valid base64", e);
      }
    }
  }
}
