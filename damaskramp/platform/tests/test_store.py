"""Documents that the client of the store decodes."""

from unittest import TestCase
from unittest.mock import patch

import orjson

from damaskramp.core import Counters
from damaskramp.fleet import SourceError
from damaskramp.platform import MetadataStore
from damaskramp.platform import store as module


def document(version):
    return orjson.dumps({"version": f"r{version}", "routes": {}})


class TestMetadataStore(TestCase):
    def test_document_that_arrives_again_is_decoded_once(self):
        """Readers get each change from a watch, a poll and peers, up to 1 MB each."""
        source = MetadataStore("127.0.0.1:1", Counters())
        decode = module.decode_configuration
        with patch.object(module, "decode_configuration", wraps=decode) as decoded:
            versions = [source.decode(document(v)).version for v in (1, 1, 2, 1)]
        self.assertEqual([1, 1, 2, 1], versions)
        self.assertEqual(3, decoded.call_count)

    def test_unreadable_document_does_not_pass_for_the_last_one(self):
        source = MetadataStore("127.0.0.1:1", Counters())
        source.decode(document(1))
        for _ in range(2):
            self.assertRaises(SourceError, source.decode, b"[]")
        self.assertEqual(1, source.decode(document(1)).version)
