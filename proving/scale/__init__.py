"""What a node costs against the number of members."""
