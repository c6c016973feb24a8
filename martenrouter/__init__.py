"""Router for language-model servers that read prompts and write answers in two stages."""
